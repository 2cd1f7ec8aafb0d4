package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// Breaker keeps requests from units that fail again and again.
type Breaker interface {
	Open(unit string) bool
	Allow(unit string) bool
	Success(unit string)
	Failure(unit string)
	Forget(unit string)
}

// Options are what a dispatcher needs; Zone is the availability zone of the entry.
type Options struct {
	Zone    string
	Clock   clockwork.Clock
	Breaker Breaker
}

// Request asks for a place in a pool.
type Request struct {
	ID        string
	Pool      string
	Workspace string
	// Priority ranks requests, 0 first.
	Priority int
	// Cost is the expected work, in any unit that is the same for the whole pool.
	Cost float64
	// StartBy is when the request must have started to be worth its place, Deadline when it must have ended.
	StartBy  time.Time
	Deadline time.Time
	// Exclude names units that have had the request.
	Exclude []string
	// Resumed says that the request has run in part; it goes before all others.
	Resumed bool
	// Late says that the request cannot be served within its objective any more; it goes after those that can.
	Late bool
}

// Result says how a unit dealt with a request.
type Result int

// A request was Served; or the unit was at Fault; or it Rejected the request for want of a place; or the unit had no part in how it ended.
const (
	Served Result = iota
	Fault
	Rejected
	Neutral
)

// Outcome is what a request teaches of its unit; Pause is the mean time between events of a stream, zero where unknown.
type Outcome struct {
	Result Result
	Took   time.Duration
	Pause  time.Duration
}

// Dispatcher gives out the places of all units; it is safe for concurrent use.
type Dispatcher struct {
	opt     Options
	mux     sync.Mutex
	units   map[string]*unitState
	pools   map[string]*pool
	foreign map[string]map[string]int
	entries int
}

type pool struct {
	units   []*unitState
	queue   *queuer.Queue
	waiting map[string]*waiter
}

type waiter struct {
	req  Request
	done chan answer
}

type answer struct {
	place *Place
	err   error
}

// New returns a dispatcher without units.
func New(opt Options) *Dispatcher {
	return &Dispatcher{opt: opt, units: map[string]*unitState{}, pools: map[string]*pool{}, foreign: map[string]map[string]int{}, entries: 1}
}

// Place is the right to send one request to a unit; it must be released.
type Place struct {
	Unit Unit
	// Broken is closed when the unit cannot end what runs on it.
	Broken <-chan struct{}

	dis   *Dispatcher
	sta   *unitState
	pool  string
	cost  float64
	once  sync.Once
	since time.Time
}

// Acquire takes a place, waits for one until StartBy, or fails at once with a refuser.Refusal when no place can come in time.
func (dis *Dispatcher) Acquire(ctx context.Context, req Request) (*Place, error) {
	wai, ans := dis.enqueue(req)
	if wai == nil {
		return ans.place, ans.err
	}
	late := dis.opt.Clock.NewTimer(dis.opt.Clock.Until(req.StartBy))
	defer late.Stop()
	select {
	case ans := <-wai.done:
		return ans.place, ans.err
	case <-late.Chan():
		return dis.giveUp(wai, "no place became free in time")
	case <-ctx.Done():
		return dis.giveUp(wai, "the caller left")
	}
}

// giveUp ends the wait of a request, unless it has been answered meanwhile.
func (dis *Dispatcher) giveUp(wai *waiter, why string) (*Place, error) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	poo := dis.pools[wai.req.Pool]
	if poo != nil && poo.waiting[wai.req.ID] == wai {
		delete(poo.waiting, wai.req.ID)
		poo.queue.Remove(wai.req.ID)
		return nil, refuser.NotRun(why+poo.describe(), poo.queue.RetryAfter(item(wai.req)))
	}
	ans := <-wai.done
	return ans.place, ans.err
}

func (dis *Dispatcher) enqueue(req Request) (*waiter, answer) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	poo := dis.pools[req.Pool]
	if poo == nil || !poo.serving(req) {
		return nil, answer{err: refuser.NotRun("no unit of "+req.Pool+" serves", refuser.DefaultRetryAfter)}
	}
	if poo.queue.Len() == 0 {
		if sta := dis.choose(poo, req); sta != nil {
			return nil, answer{place: dis.grant(sta, req)}
		}
	}
	poo.queue.SetSlots(poo.ownSlots())
	evicted, err := poo.queue.Push(item(req))
	if err != nil {
		return nil, answer{err: err}
	}
	if evicted != nil {
		poo.refuse(evicted.ID, refuser.OverShare("workspace "+evicted.Workspace+" is over its share of the full queue", poo.queue.RetryAfter(*evicted)))
	}
	wai := &waiter{req: req, done: make(chan answer, 1)}
	poo.waiting[req.ID] = wai
	dis.pump(poo)
	return wai, answer{}
}

func item(req Request) queuer.Item {
	// Ranks of new requests are at most 0.
	rank := -2*max(0, req.Priority) - 1
	switch {
	case req.Resumed:
		rank = 1
	case !req.Late:
		rank++
	}
	return queuer.Item{
		ID: req.ID, Workspace: req.Workspace, Priority: rank, Cost: max(1, req.Cost),
		StartBy: req.StartBy, Deadline: req.Deadline,
	}
}

// pump gives free places to those that wait.
func (dis *Dispatcher) pump(poo *pool) {
	for poo.queue.Len() > 0 {
		itm, found := poo.queue.Pop(func(itm queuer.Item) bool {
			wai := poo.waiting[itm.ID]
			return wai == nil || dis.choose(poo, wai.req) != nil
		})
		if !found {
			return
		}
		wai := poo.waiting[itm.ID]
		delete(poo.waiting, itm.ID)
		if wai != nil {
			wai.done <- answer{place: dis.grant(dis.choose(poo, wai.req), wai.req)}
		}
	}
}

// choose returns the unit with the lowest load that has a place, or nil.
func (dis *Dispatcher) choose(poo *pool, req Request) *unitState {
	now := dis.opt.Clock.Now()
	var best *unitState
	lowest := 0.0
	if len(poo.units) == 0 {
		return nil
	}
	// The start is random, so that entries do not all turn to the same of several units that are as free.
	start := rand.IntN(len(poo.units))
	for num := range poo.units {
		sta := poo.units[(start+num)%len(poo.units)]
		if !sta.open(now) || slices.Contains(req.Exclude, sta.ID) || dis.opt.Breaker.Open(sta.ID) {
			continue
		}
		if load := sta.load(dis.opt.Zone); best == nil || load < lowest {
			best, lowest = sta, load
		}
	}
	return best
}

func (dis *Dispatcher) grant(sta *unitState, req Request) *Place {
	now := dis.opt.Clock.Now()
	// The one trial of a circuit that is half open is taken here, and not by a mere look.
	dis.opt.Breaker.Allow(sta.ID)
	sta.running++
	if sta.cold(now) {
		sta.coldNext = now.Add(sta.coldEvery(dis.entries))
	}
	return &Place{Unit: sta.Unit, Broken: sta.broken, dis: dis, sta: sta, pool: req.Pool, cost: max(1, req.Cost), since: now}
}

// Release gives the place back and learns from how the request ended; a second release does nothing.
func (pla *Place) Release(out Outcome) {
	pla.once.Do(func() { pla.dis.release(pla, out) })
}

func (dis *Dispatcher) release(pla *Place, out Outcome) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	now := dis.opt.Clock.Now()
	pla.sta.running--
	pla.sta.learn(out)
	poo := dis.pools[pla.pool]
	switch out.Result {
	case Served:
		dis.opt.Breaker.Success(pla.sta.ID)
		if poo != nil {
			poo.queue.Served(pla.cost, now.Sub(pla.since))
		}
	case Fault:
		dis.opt.Breaker.Failure(pla.sta.ID)
	case Rejected:
		pla.sta.fullTo = now.Add(fullFor)
	}
	if poo != nil {
		dis.pump(poo)
	}
	dis.drop(pla.sta)
}

// Pump gives places to those that wait, since places also become free by time.
func (dis *Dispatcher) Pump() {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	for _, poo := range dis.pools {
		dis.pump(poo)
	}
}

// serving reports whether any unit that has not had the request serves at all.
func (poo *pool) serving(req Request) bool {
	return slices.ContainsFunc(poo.units, func(sta *unitState) bool {
		return sta.Readiness == Serving && !slices.Contains(req.Exclude, sta.ID)
	})
}

// describe tells the load that a refusal rests on.
func (poo *pool) describe() string {
	loa := poo.load()
	return fmt.Sprintf(" (%d of %d places taken, %d wait here)", loa.Taken, loa.Slots, loa.Waiting)
}

// ownSlots is how many places of the pool this entry has or could take now.
func (poo *pool) ownSlots() int {
	num := 0
	for _, sta := range poo.units {
		if sta.Readiness == Serving {
			num += sta.running + max(0, sta.Slots-sta.running-sta.foreign)
		}
	}
	return max(1, num)
}

func (poo *pool) refuse(id string, err error) {
	wai := poo.waiting[id]
	delete(poo.waiting, id)
	if wai != nil {
		wai.done <- answer{err: err}
	}
}
