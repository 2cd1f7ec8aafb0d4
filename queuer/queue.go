package queuer

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/refuser"
)

// Defaults of a queue.
const (
	DefaultCapacity = 10000
	DefaultAgeAfter = 10 * time.Second
	AgedEvery       = 4
)

// Options bound a queue; WorkspaceCapacity is the most that one workspace may have waiting.
type Options struct {
	Capacity          int
	WorkspaceCapacity int
	AgeAfter          time.Duration
	Clock             clockwork.Clock
}

// Item is a request that waits; Cost is its expected tokens. StartBy bounds its wait and Deadline its end; a zero time is no bound.
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

// Queue holds the requests that wait for one unit.
type Queue struct {
	opt     Options
	flows   map[flowKey]*flow
	items   map[string]*entry
	held    map[string]int
	virtual map[int]float64
	sinceAg int
	pops    uint64
	pace    pace
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
	if opt.AgeAfter <= 0 {
		opt.AgeAfter = DefaultAgeAfter
	}
	return &Queue{opt: opt, flows: map[flowKey]*flow{}, items: map[string]*entry{}, held: map[string]int{}, virtual: map[int]float64{}}
}

// Push adds a request and returns the waiting one, of a workspace over its share, that had to make room and must be answered; it fails with a refuser.Refusal of type not_run, or conflict for an ID that waits already.
func (que *Queue) Push(itm Item) (evicted *Item, err error) {
	itm.Weight = max(1, itm.Weight)
	itm.Cost = max(1, itm.Cost)
	if que.items[itm.ID] != nil {
		return nil, refuser.Conflict("request " + itm.ID + " waits already")
	}
	if err := que.checkTime(itm); err != nil {
		return nil, err
	}
	if que.held[itm.Workspace] >= que.opt.WorkspaceCapacity {
		return nil, que.overShare(itm)
	}
	if len(que.items) < que.opt.Capacity {
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

// Pop takes the next request that allow accepts; a nil allow accepts all.
func (que *Queue) Pop(allow func(Item) bool) (Item, bool) {
	flo := que.next(allow)
	if flo == nil {
		return Item{}, false
	}
	ent := flo.entries[0]
	que.virtual[flo.key.priority] = max(que.virtual[flo.key.priority], flo.start(que.virtual[flo.key.priority]))
	flo.finish = que.virtual[flo.key.priority] + ent.Cost/float64(ent.Weight)
	que.pops++
	flo.served = que.pops
	que.remove(ent)
	return ent.Item, true
}

// Remove takes out a request that gave up; it reports whether the request was waiting.
func (que *Queue) Remove(id string) bool {
	ent := que.items[id]
	if ent == nil {
		return false
	}
	que.remove(ent)
	return true
}

// Drain takes out everything that waits, in no order.
func (que *Queue) Drain() []Item {
	out := make([]Item, 0, len(que.items))
	for _, ent := range que.items {
		out = append(out, ent.Item)
	}
	que.flows, que.items = map[flowKey]*flow{}, map[string]*entry{}
	que.held, que.virtual = map[string]int{}, map[int]float64{}
	return out
}

// Len returns how many requests wait.
func (que *Queue) Len() int {
	return len(que.items)
}

func (que *Queue) add(itm Item) {
	key := flowKey{itm.Workspace, itm.Lane, itm.Priority}
	flo := que.flows[key]
	if flo == nil {
		flo = &flow{key: key}
		que.flows[key] = flo
	}
	ent := &entry{Item: itm, flow: flo, since: que.opt.Clock.Now()}
	flo.push(ent)
	que.items[itm.ID] = ent
	que.held[itm.Workspace]++
}

func (que *Queue) remove(ent *entry) {
	ent.flow.take(ent)
	delete(que.items, ent.ID)
	que.held[ent.Workspace]--
	if que.held[ent.Workspace] == 0 {
		delete(que.held, ent.Workspace)
	}
	que.forgetIdle()
}

func (que *Queue) overShare(itm Item) refuser.Refusal {
	text := fmt.Sprintf("workspace %s has %d requests waiting", itm.Workspace, que.held[itm.Workspace])
	return refuser.OverShare(text, que.RetryAfter(itm))
}
