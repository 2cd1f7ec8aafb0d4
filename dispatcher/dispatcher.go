package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
)

// Breaker is a circuit breaker that keeps requests away from units that fail repeatedly.
type Breaker interface {
	IsOpen(unit string) bool
	Allow(unit string) bool
	Success(unit string)
	Failure(unit string)
	Forget(unit string)
}

// Options configure a Dispatcher; Zone is the availability zone of this entry, RateLimits by default knows of no limits, and Random returns numbers in [0, 1), by default from math/rand.
type Options struct {
	Zone       string
	Clock      clockwork.Clock
	Breaker    Breaker
	RateLimits RateLimits
	Random     func() float64
	// Shares by default divides nothing.
	Shares Shares
}

// Request asks for a slot of any unit in a pool.
type Request struct {
	ID        string
	Pool      string
	Workspace string
	// Priority orders requests; 0 is served first.
	Priority int
	// Cost is the expected amount of work, in any unit of measure that is the same for the whole pool.
	Cost float64
	// Size is the size of a generation in tokens, zero for plain calls.
	Size estimator.Request
	// MemoryTokens is the most memory that the request can need, in tokens, zero if unknown.
	MemoryTokens int
	// Objective is when the first event is due, FirstEventWithin the time that the route allows for it, and MaxEventGap the longest interval between two events; zero if there is none.
	Objective        time.Time
	FirstEventWithin time.Duration
	MaxEventGap      time.Duration
	// HoldUntil is until when the request may wait for the good of others, and LatestStart replaces StartBy where units are chosen by predicted times; zero if the request can't wait.
	HoldUntil   time.Time
	LatestStart time.Time
	// StartBy is the latest useful start of the request, Deadline the latest end.
	StartBy  time.Time
	Deadline time.Time
	// Exclude lists the IDs of units that have already received the request.
	Exclude []string
	// Resumed marks a request that has already run in part; it is served before all others.
	Resumed bool
	// Late marks a request that can no longer meet its objective; it is served after requests of the same priority that can.
	Late bool
}

// Result is how a request ended at a unit.
type Result int

// Served is a success, Fault a failure of the unit, Rejected a refusal because the unit had no free slot, and Neutral an end that says nothing about the unit.
const (
	Served Result = iota
	Fault
	Rejected
	Neutral
)

// Outcome is what a finished request reports about its unit: its result, its duration, and the mean interval between its stream events, zero if unknown.
type Outcome struct {
	Result        Result
	Duration      time.Duration
	EventInterval time.Duration
}

// Dispatcher allocates the slots of all units; it is safe for concurrent use.
type Dispatcher struct {
	opt           Options
	mux           sync.Mutex
	units         map[string]*unitState
	pools         map[string]*pool
	remoteByEntry map[string]map[string]estimator.Work
	entries       int
	rank          int
	// loadAge is how old the loads of other entries are at most.
	loadAge time.Duration
	// totals holds the work that all other entries have on each unit, as summed up by one of them, and applies until totalsUntil; totalsAge is how old they are at most.
	totals      map[string]estimator.Work
	totalsUntil time.Time
	totalsAge   time.Duration
	// pauses holds until when backend servers want no requests from this entry.
	pauses map[registrar.Instance]time.Time
}

type pool struct {
	units   []*unitState
	queue   *queuer.Queue
	waiting map[string]*waiter
	// meanDuration is the moving average of how long served requests took, zero if unknown.
	meanDuration time.Duration
	// meanUnread is the moving average of the prompt tokens of requests times the seconds for which they were unread.
	meanUnread float64
	// startDelay is the part of the time to a first event that neither reading nor writing explains.
	startDelay time.Duration
	arrivals   arrivalRate
	arrived    uint64
	// candidates is a buffer of selectUnit.
	candidates []candidate
	zones      zoneState
}

type waiter struct {
	req Request
	// place is the place of the request in the order of arrival.
	place uint64
	done  chan answer
}

type answer struct {
	placement *Placement
	err       error
}

// New returns a dispatcher without units.
func New(opt Options) *Dispatcher {
	if opt.Random == nil {
		opt.Random = rand.Float64
	}
	if opt.RateLimits == nil {
		opt.RateLimits = noRateLimits{}
	}
	if opt.Shares == nil {
		opt.Shares = noShares{}
	}
	return &Dispatcher{opt: opt, units: map[string]*unitState{}, pools: map[string]*pool{}, remoteByEntry: map[string]map[string]estimator.Work{}, entries: 1, pauses: map[registrar.Instance]time.Time{}}
}

// Placement is the right to send one request to a unit; the holder must call Release.
type Placement struct {
	Unit Unit
	// InUse is the number of requests that all entries were known to run on the unit when the slot was allocated, including this one.
	InUse int
	// Suspected is closed when the unit may no longer finish its running requests, Broken when it certainly cannot.
	Suspected <-chan struct{}
	Broken    <-chan struct{}

	dis   *Dispatcher
	sta   *unitState
	pool  string
	cost  float64
	once  sync.Once
	since time.Time
	// size and memory are those of the request, predicted is the uncorrected time to its first event, and factor the unit's correction. Read says that its prompt is read.
	size      estimator.Request
	memory    int
	predicted time.Duration
	factor    float64
	read      bool
	released  bool
}

// acquire allocates a slot whatever the share of the workspace.
func (dis *Dispatcher) acquire(ctx context.Context, req Request) (*Placement, error) {
	wai, ans := dis.enqueue(req)
	if wai == nil {
		return ans.placement, ans.err
	}
	timer := dis.opt.Clock.NewTimer(dis.opt.Clock.Until(wai.req.StartBy))
	defer timer.Stop()
	select {
	case ans := <-wai.done:
		return ans.placement, ans.err
	case <-timer.Chan():
		return dis.abandonWait(wai, "no place became free in time")
	case <-ctx.Done():
		return dis.abandonWait(wai, "the caller left")
	}
}

// abandonWait takes a waiting request out of the queue, or returns its answer if it got one in the meantime.
func (dis *Dispatcher) abandonWait(wai *waiter, reason string) (*Placement, error) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	poo := dis.pools[wai.req.Pool]
	if poo != nil && poo.waiting[wai.req.ID] == wai {
		delete(poo.waiting, wai.req.ID)
		poo.queue.Remove(wai.req.ID)
		return nil, refuser.NotRun(reason+dis.loadSummary(poo), poo.queue.RetryAfter(queueItem(wai.req)))
	}
	ans := <-wai.done
	return ans.placement, ans.err
}

func (dis *Dispatcher) enqueue(req Request) (*waiter, answer) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	poo := dis.pools[req.Pool]
	if poo == nil {
		return nil, answer{err: noUnitServing(req.Pool)}
	}
	req = poo.extend(req)
	poo.arrivals.record(dis.opt.Clock.Now())
	poo.arrived++
	if err := dis.unavailable(poo, req, poo.arrived, false); err != nil {
		return nil, answer{err: err}
	}
	if err := dis.refuseLate(poo, req); err != nil {
		return nil, answer{err: err}
	}
	if poo.queue.Len() == 0 {
		if sta := dis.selectUnit(poo, req); sta != nil {
			return nil, answer{placement: dis.grant(sta, req)}
		}
	}
	poo.queue.SetSlots(dis.localSlots(poo, req.StartBy))
	evicted, err := poo.queue.Push(queueItem(req))
	if err != nil {
		return nil, answer{err: err}
	}
	if evicted != nil {
		poo.refuse(evicted.ID, refuser.ShareExceeded("workspace "+evicted.Workspace+" is over its share of the full queue", poo.queue.RetryAfter(*evicted)))
	}
	wai := &waiter{req: req, place: poo.arrived, done: make(chan answer, 1)}
	poo.waiting[req.ID] = wai
	dis.dispatchWaiting(poo)
	return wai, answer{}
}

func queueItem(req Request) queuer.Item {
	// The ranks of new requests are at most 0, so that a resumed one with rank 1 precedes them all.
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

// dispatchWaiting assigns free slots to the requests waiting in the pool.
func (dis *Dispatcher) dispatchWaiting(poo *pool) {
	if poo.predicts() {
		dis.requeueLate(poo, dis.opt.Clock.Now())
	}
	for poo.queue.Len() > 0 {
		units := map[string]*unitState{}
		itm, found := poo.queue.Pop(func(itm queuer.Item) bool {
			wai := poo.waiting[itm.ID]
			if wai != nil {
				units[itm.ID] = dis.selectUnit(poo, wai.req)
			}
			return wai == nil || units[itm.ID] != nil
		})
		if !found {
			return
		}
		wai := poo.waiting[itm.ID]
		delete(poo.waiting, itm.ID)
		if wai != nil {
			wai.done <- answer{placement: dis.grant(units[itm.ID], wai.req)}
		}
	}
}

func (dis *Dispatcher) grant(sta *unitState, req Request) *Placement {
	now := dis.opt.Clock.Now()
	dis.recordZone(req.Pool, sta)
	// Allow uses up the single trial of a half-open circuit; selectUnit only reads the state with Open.
	dis.opt.Breaker.Allow(sta.ID)
	dis.opt.RateLimits.Spend(sta.Instance())
	pla := &Placement{Unit: sta.Unit, Suspected: sta.suspected, Broken: sta.broken, dis: dis, sta: sta, pool: req.Pool, cost: max(1, req.Cost), since: now, size: req.Size, memory: req.MemoryTokens}
	if poo := dis.pools[req.Pool]; poo != nil && sta.Estimator != nil {
		pla.predicted = dis.expect(poo, sta, req, now)
		pla.factor = sta.correction.factor(now)
	}
	sta.own.Requests++
	sta.own.Unread += req.Size.PromptTokens
	dis.commit(sta, req.MemoryTokens, now)
	pla.InUse = sta.own.Requests + sta.remote.Requests
	if sta.cold(now) {
		sta.nextColdStart = now.Add(sta.coldInterval(dis.entries))
	}
	return pla
}

// NewPlacement returns a placement at a unit whose slots no dispatcher allocates.
func NewPlacement(uni Unit) *Placement {
	return &Placement{Unit: uni}
}

// Release frees the slot and records how the request ended; further calls do nothing.
func (pla *Placement) Release(out Outcome) {
	if pla.dis == nil {
		return
	}
	pla.once.Do(func() { pla.dis.release(pla, out) })
}

func (dis *Dispatcher) release(pla *Placement, out Outcome) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	now := dis.opt.Clock.Now()
	pla.released = true
	pla.sta.own.Requests--
	pla.sta.own.Committed -= pla.memory
	if !pla.read {
		pla.sta.own.Unread -= pla.size.PromptTokens
	}
	pla.sta.recordOutcome(out)
	poo := dis.pools[pla.pool]
	switch out.Result {
	case Served:
		dis.opt.Breaker.Success(pla.sta.ID)
		if poo != nil {
			poo.queue.RecordCompletion(pla.cost, now.Sub(pla.since))
			poo.recordDuration(now.Sub(pla.since))
		}
	case Fault:
		dis.opt.Breaker.Failure(pla.sta.ID)
	case Rejected:
		pla.sta.fullUntil = now.Add(fullDuration)
	}
	if poo != nil {
		dis.dispatchWaiting(poo)
	}
	dis.forgetIfIdle(pla.sta)
}

// DispatchWaiting assigns free slots to waiting requests; callers run it periodically, since slots also become free by the passing of time.
func (dis *Dispatcher) DispatchWaiting() {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	dis.expirePauses()
	if dis.totals != nil && !dis.totalsApply() {
		dis.totals = nil
		dis.refreshRemote()
	}
	for _, poo := range dis.pools {
		dis.dispatchWaiting(poo)
		if len(poo.waiting) > 0 && dis.allLimited(poo) {
			dis.refuseUnavailable(poo)
		}
	}
}

// loadSummary formats the load of the pool for the message of a refusal.
func (dis *Dispatcher) loadSummary(poo *pool) string {
	loa := dis.load(poo)
	return fmt.Sprintf(" (%d of %d places in use, %d requests waiting at this entry)", loa.InUse, loa.Slots, loa.Waiting)
}

// localSlots returns how many slots of the pool this entry uses or could use by a time, at least 1.
func (dis *Dispatcher) localSlots(poo *pool, by time.Time) int {
	num := 0
	for _, sta := range poo.units {
		if dis.canStart(sta, by) {
			num += sta.own.Requests + dis.freeSlots(sta)
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
