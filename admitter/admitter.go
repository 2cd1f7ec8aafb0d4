package admitter

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// Defaults of an admitter.
const (
	DefaultValidity  = limiter.DefaultValidity
	DefaultReportLag = limiter.DefaultReportLag
)

const suspectLane = "suspect"

// Limiter decides how many requests a unit runs at once.
type Limiter interface {
	Acquire() (limiter.Permit, bool)
	Release(per limiter.Permit, out limiter.Outcome) bool
	Abandon(per limiter.Permit) bool
	Report(rep limiter.Report)
	SetMode(mod limiter.Mode)
	Resize(cold, warm int)
	HandOver() (limiter.Handoff, bool)
	TakeOver(han limiter.Handoff) bool
	Limit() int
	Running() int
	Foreign() int
	Warm() bool
}

// Options configure an admitter; Incarnation makes its ticket IDs unique, ReportLag is the largest lag of load reports, and NewLimiter is limiter.New when it is nil.
type Options struct {
	Incarnation string
	Validity    time.Duration
	ReportLag   time.Duration
	Queue       queuer.Options
	NewLimiter  func(opt limiter.Options) Limiter
	Clock       clockwork.Clock
}

// Request asks for a place on a unit; ID is unique for each attempt, Holder is the incarnation of the entry that asks, Within bounds its wait and Finish the time until its end, zero for no bound.
type Request struct {
	ID        string
	Holder    string
	Unit      string
	Fence     int64
	Workspace string
	Priority  int
	Weight    int
	Cost      float64
	Within    time.Duration
	Finish    time.Duration
	// Suspect says that the request ran on a unit that crashed.
	Suspect bool
}

// Ticket is the right to run one request on a unit; its dispatch must begin within ValidFor of asking, by the holder's own clock.
type Ticket struct {
	ID       string
	Unit     string
	Fence    int64
	ValidFor time.Duration
}

// Admitter holds a limiter and a queue for each unit that is at home here; it is safe for concurrent use.
type Admitter struct {
	opt     Options
	mux     sync.Mutex
	units   map[string]*unit
	tickets map[string]*grant
	last    uint64
}

// New returns an admitter without units.
func New(opt Options) *Admitter {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.Validity <= 0 {
		opt.Validity = DefaultValidity
	}
	if opt.ReportLag <= 0 {
		opt.ReportLag = DefaultReportLag
	}
	if opt.NewLimiter == nil {
		opt.NewLimiter = func(opt limiter.Options) Limiter { return limiter.New(opt) }
	}
	opt.Queue.Clock = opt.Clock
	return &Admitter{opt: opt, units: map[string]*unit{}, tickets: map[string]*grant{}}
}

// Admit waits for a place on the unit and fails with a refuser.Refusal; a ticket that is granted must be released, also when the context has ended.
func (adm *Admitter) Admit(ctx context.Context, req Request) (Ticket, error) {
	wai, err := adm.enqueue(req)
	if err != nil {
		return Ticket{}, err
	}
	select {
	case ans := <-wai.answered:
		return ans.result()
	default:
	}
	var late <-chan time.Time
	if req.Within > 0 {
		tim := adm.opt.Clock.NewTimer(req.Within)
		defer tim.Stop()
		late = tim.Chan()
	}
	select {
	case ans := <-wai.answered:
		return ans.result()
	case <-late:
		adm.giveUp(wai, refuser.NotRun("the deadline passed in the queue", refuser.DefaultRetryAfter))
	case <-ctx.Done():
		adm.giveUp(wai, refuser.NotRun("the caller gave up in the queue", 0))
	}
	return (<-wai.answered).result()
}

// Release gives the place of a ticket back; it fails with errors.NotFound for a ticket that is not outstanding.
func (adm *Admitter) Release(ticketID string, out limiter.Outcome) error {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	gra := adm.tickets[ticketID]
	if gra == nil {
		return errors.NotFoundf("admitter: ticket %s", ticketID)
	}
	adm.end(gra, out)
	return nil
}

// Withdraw ends a request whose answer was lost, whether it waits or has a ticket; it fails with errors.NotFound when there is neither.
func (adm *Admitter) Withdraw(unitName, requestID string) error {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[unitName]
	if uni == nil {
		return errors.NotFoundf("admitter: unit %s", unitName)
	}
	if uni.queue.Remove(requestID) {
		uni.refuse(requestID, refuser.NotRun("the request was withdrawn", 0))
		return nil
	}
	if gra := uni.running[requestID]; gra != nil {
		adm.end(gra, limiter.Outcome{Undispatched: true})
		return nil
	}
	return errors.NotFoundf("admitter: request %s", requestID)
}

// Report learns from the load of a unit's backend server.
func (adm *Admitter) Report(unitName string, rep limiter.Report) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[unitName]
	if uni == nil {
		return
	}
	uni.limiter.Report(rep)
	if uni.limiter.Foreign() == 0 {
		uni.suspectLost = false
	}
	adm.pump(uni)
}

// Forget reclaims what an evicted holder had: its waiting requests are refused, and the places of its tickets stay taken until a later report shows that the backend server runs fewer.
func (adm *Admitter) Forget(holder string) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	for id, gra := range adm.tickets {
		if gra.req.Holder == holder {
			delete(adm.tickets, id)
			gra.unit.abandon(gra)
		}
	}
	for _, uni := range adm.units {
		uni.refuseWhere(func(req Request) bool { return req.Holder == holder }, refuser.NotRun("the entry that asked was evicted", 0))
		adm.pump(uni)
	}
}

func (adm *Admitter) enqueue(req Request) (*waiter, error) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[req.Unit]
	if uni == nil {
		return nil, refuser.NotRun("unit "+req.Unit+" is not at home here", refuser.DefaultRetryAfter)
	}
	if err := uni.check(req); err != nil {
		return nil, err
	}
	wai := &waiter{req: req, unit: uni, answered: make(chan answer, 1)}
	uni.queue.SetSlots(uni.limiter.Limit())
	evicted, err := uni.queue.Push(wai.item(adm.opt.Clock.Now()))
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		uni.refuse(evicted.ID, refuser.OverShare("workspace "+evicted.Workspace+" is over its share of the full queue", uni.queue.RetryAfter(*evicted)))
	}
	uni.waiting[req.ID] = wai
	adm.pump(uni)
	return wai, nil
}

func (adm *Admitter) giveUp(wai *waiter, ref refuser.Refusal) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	if wai.unit.waiting[wai.req.ID] == wai && wai.unit.queue.Remove(wai.req.ID) {
		wai.unit.refuse(wai.req.ID, ref)
	}
}

// pump grants tickets to those that wait while the limiter has places.
func (adm *Admitter) pump(uni *unit) {
	for uni.state.admits() && uni.queue.Len() > 0 {
		per, free := uni.limiter.Acquire()
		if !free {
			return
		}
		itm, found := uni.queue.Pop(uni.mayRun)
		if !found {
			uni.limiter.Release(per, limiter.Outcome{Undispatched: true})
			return
		}
		if !itm.StartBy.IsZero() && !itm.StartBy.After(adm.opt.Clock.Now()) {
			uni.limiter.Release(per, limiter.Outcome{Undispatched: true})
			uni.refuse(itm.ID, refuser.NotRun("the deadline passed in the queue", refuser.DefaultRetryAfter))
			continue
		}
		adm.grant(uni, itm.ID, per)
	}
}

func (adm *Admitter) grant(uni *unit, id string, per limiter.Permit) {
	wai := uni.waiting[id]
	delete(uni.waiting, id)
	now := adm.opt.Clock.Now()
	adm.last++
	tic := Ticket{
		ID:       adm.opt.Incarnation + "-" + strconv.FormatUint(adm.last, 10),
		Unit:     uni.cfg.Name,
		Fence:    uni.cfg.Fence,
		ValidFor: adm.opt.Validity,
	}
	gra := &grant{ticket: tic, req: wai.req, unit: uni, permit: per, at: now}
	adm.tickets[tic.ID] = gra
	uni.running[id] = gra
	if wai.req.Suspect {
		uni.suspects++
	}
	uni.assertSuspects()
	wai.answered <- answer{ticket: tic}
}

func (adm *Admitter) end(gra *grant, out limiter.Outcome) {
	delete(adm.tickets, gra.ticket.ID)
	uni := gra.unit
	delete(uni.running, gra.req.ID)
	uni.limiter.Release(gra.permit, out)
	if gra.req.Suspect {
		uni.endSuspect(out.MayRun)
	}
	if out.Whole() {
		uni.queue.Served(gra.req.Cost, adm.opt.Clock.Since(gra.at))
	}
	adm.pump(uni)
}
