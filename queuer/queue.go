package queuer

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/refuser"
)

// Default bounds of a queue, and the aging interval in pops.
const (
	DefaultCapacity       = 10000
	DefaultAgingThreshold = 10 * time.Second
	AgingInterval         = 4
)

// Options bound a queue; Capacity limits the waiting requests in total, WorkspaceCapacity those of one workspace, and AgingThreshold is the wait after which a request counts as aged.
type Options struct {
	Capacity          int
	WorkspaceCapacity int
	AgingThreshold    time.Duration
	Clock             clockwork.Clock
}

// Item is a waiting request; Cost is its expected number of tokens, StartBy its latest start and Deadline its latest end, both unbounded if zero.
type Item struct {
	ID        string
	Workspace string
	Lane      string
	Priority  int
	Weight    int
	Cost      float64
	StartBy   time.Time
	Deadline  time.Time
}

// Queue holds the requests waiting for one unit; it is not safe for concurrent use.
type Queue struct {
	opt                Options
	flows              map[flowKey]*flow
	entries            map[string]*entry
	waitingByWorkspace map[string]int
	virtualTime        map[int]float64
	popsSinceAged      int
	pops               uint64
	rate               serviceRate
}

// New returns an empty queue.
func New(opt Options) *Queue {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.Capacity <= 0 {
		opt.Capacity = DefaultCapacity
	}
	if opt.WorkspaceCapacity <= 0 || opt.WorkspaceCapacity > opt.Capacity {
		opt.WorkspaceCapacity = opt.Capacity
	}
	if opt.AgingThreshold <= 0 {
		opt.AgingThreshold = DefaultAgingThreshold
	}
	return &Queue{opt: opt, flows: map[flowKey]*flow{}, entries: map[string]*entry{}, waitingByWorkspace: map[string]int{}, virtualTime: map[int]float64{}}
}

// Push adds a request and returns the request evicted for it, if any, which the caller must answer; it fails with a refuser.Refusal of type not_run, or conflict if the ID is already queued.
func (que *Queue) Push(itm Item) (evicted *Item, err error) {
	itm.Weight = max(1, itm.Weight)
	itm.Cost = max(1, itm.Cost)
	if que.entries[itm.ID] != nil {
		return nil, refuser.Conflict("request " + itm.ID + " is already queued")
	}
	if err := que.checkDeadlines(itm); err != nil {
		return nil, err
	}
	if que.waitingByWorkspace[itm.Workspace] >= que.opt.WorkspaceCapacity {
		return nil, que.overShareError(itm)
	}
	if len(que.entries) < que.opt.Capacity {
		que.add(itm)
		return nil, nil
	}
	vic, err := que.victim(itm)
	if err != nil {
		return nil, err
	}
	que.remove(vic)
	que.add(itm)
	return &vic.Item, nil
}

// Pop removes and returns the next request that allow accepts, or false if there is none; a nil allow accepts all.
func (que *Queue) Pop(allow func(Item) bool) (Item, bool) {
	flo := que.nextFlow(allow)
	if flo == nil {
		return Item{}, false
	}
	ent := flo.entries[0]
	que.virtualTime[flo.key.priority] = max(que.virtualTime[flo.key.priority], flo.virtualStart(que.virtualTime[flo.key.priority]))
	flo.virtualFinish = que.virtualTime[flo.key.priority] + ent.Cost/float64(ent.Weight)
	que.pops++
	flo.lastServed = que.pops
	que.remove(ent)
	return ent.Item, true
}

// Remove deletes a request from the queue and reports whether it was queued.
func (que *Queue) Remove(id string) bool {
	ent := que.entries[id]
	if ent == nil {
		return false
	}
	que.remove(ent)
	return true
}

// Drain removes and returns all requests, in no particular order.
func (que *Queue) Drain() []Item {
	out := make([]Item, 0, len(que.entries))
	for _, ent := range que.entries {
		out = append(out, ent.Item)
	}
	que.flows, que.entries = map[flowKey]*flow{}, map[string]*entry{}
	que.waitingByWorkspace, que.virtualTime = map[string]int{}, map[int]float64{}
	return out
}

// Len returns the number of queued requests.
func (que *Queue) Len() int {
	return len(que.entries)
}

func (que *Queue) add(itm Item) {
	key := flowKey{itm.Workspace, itm.Lane, itm.Priority}
	flo := que.flows[key]
	if flo == nil {
		flo = &flow{key: key}
		que.flows[key] = flo
	}
	ent := &entry{Item: itm, flow: flo, enqueuedAt: que.opt.Clock.Now()}
	flo.push(ent)
	que.entries[itm.ID] = ent
	que.waitingByWorkspace[itm.Workspace]++
}

func (que *Queue) remove(ent *entry) {
	ent.flow.remove(ent)
	delete(que.entries, ent.ID)
	que.waitingByWorkspace[ent.Workspace]--
	if que.waitingByWorkspace[ent.Workspace] == 0 {
		delete(que.waitingByWorkspace, ent.Workspace)
	}
	que.pruneIdleFlows()
}

func (que *Queue) overShareError(itm Item) refuser.Refusal {
	text := fmt.Sprintf("workspace %s has %d requests waiting", itm.Workspace, que.waitingByWorkspace[itm.Workspace])
	return refuser.ShareExceeded(text, que.RetryAfter(itm))
}
