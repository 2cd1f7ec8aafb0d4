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

// Default values of Options.
const (
	DefaultValidity  = limiter.DefaultValidity
	DefaultReportLag = limiter.DefaultReportLag
)

const suspectLane = "suspect"

// Limiter bounds the number of concurrent requests of a unit.
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

// Options configure an admitter: Incarnation is the prefix that makes its ticket IDs unique, Validity is how long tickets are valid, ReportLag is the maximum lag of load reports, and NewLimiter defaults to limiter.New.
type Options struct {
	Incarnation string
	Validity    time.Duration
	ReportLag   time.Duration
	Queue       queuer.Options
	NewLimiter  func(opt limiter.Options) Limiter
	Clock       clockwork.Clock
}

// Request asks for a slot on a unit: ID is unique for each attempt, Holder is the incarnation of the requesting entry, Within limits the time in the queue and Finish the time until the request ends, both zero for no limit.
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
	// Suspect is set if the request was running on a unit that crashed.
	Suspect bool
}

// Ticket permits its holder to run one request on a unit; the holder must dispatch the request within ValidFor of asking for the ticket, measured by its own clock.
type Ticket struct {
	ID       string
	Unit     string
	Fence    int64
	ValidFor time.Duration
}

// Admitter holds a limiter and a queue for each unit whose home is this entry; it is safe for concurrent use.
type Admitter struct {
	opt        Options
	mux        sync.Mutex
	units      map[string]*unit
	tickets    map[string]*grant
	lastTicket uint64
}

// New returns an admitter that has no units yet.
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

// Admit waits for a slot on the unit and returns a refuser.Refusal as its error; the caller must release a granted ticket even if the context has ended.
func (adm *Admitter) Admit(ctx context.Context, req Request) (Ticket, error) {
	wai, err := adm.enqueue(req)
	if err != nil {
		return Ticket{}, err
	}
	select {
	case ans := <-wai.answers:
		return ans.result()
	default:
	}
	var expired <-chan time.Time
	if req.Within > 0 {
		tim := adm.opt.Clock.NewTimer(req.Within)
		defer tim.Stop()
		expired = tim.Chan()
	}
	select {
	case ans := <-wai.answers:
		return ans.result()
	case <-expired:
		adm.cancelWaiting(wai, refuser.NotRun("the deadline passed while the request was queued", refuser.DefaultRetryAfter))
	case <-ctx.Done():
		adm.cancelWaiting(wai, refuser.NotRun("the caller canceled the request while it was queued", 0))
	}
	return (<-wai.answers).result()
}

// Release frees the slot of a ticket; it fails with errors.NotFound if the ticket is not outstanding.
func (adm *Admitter) Release(ticketID string, out limiter.Outcome) error {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	gra := adm.tickets[ticketID]
	if gra == nil {
		return errors.NotFoundf("admitter: ticket %s", ticketID)
	}
	adm.finish(gra, out)
	return nil
}

// Withdraw ends a request whose answer was lost, whether it is queued or holds a ticket; it fails with errors.NotFound if the request is unknown.
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
		adm.finish(gra, limiter.Outcome{Undispatched: true})
		return nil
	}
	return errors.NotFoundf("admitter: request %s", requestID)
}

// Report passes a load report of the backend server to the limiter of a unit.
func (adm *Admitter) Report(unitName string, rep limiter.Report) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[unitName]
	if uni == nil {
		return
	}
	uni.limiter.Report(rep)
	if uni.limiter.Foreign() == 0 {
		uni.suspectMayStillRun = false
	}
	adm.grantWaiting(uni)
}

// DropHolder refuses the queued requests of an evicted holder and drops its tickets; their slots stay occupied until a later report shows that the backend server runs fewer requests.
func (adm *Admitter) DropHolder(holder string) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	for id, gra := range adm.tickets {
		if gra.req.Holder == holder {
			delete(adm.tickets, id)
			gra.unit.abandon(gra)
		}
	}
	for _, uni := range adm.units {
		uni.refuseMatching(func(req Request) bool { return req.Holder == holder }, refuser.NotRun("the entry that sent the request was evicted", 0))
		adm.grantWaiting(uni)
	}
}

func (adm *Admitter) enqueue(req Request) (*waiter, error) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[req.Unit]
	if uni == nil {
		return nil, refuser.NotRun("this entry is not the home of unit "+req.Unit, refuser.DefaultRetryAfter)
	}
	if err := uni.checkRequest(req); err != nil {
		return nil, err
	}
	wai := &waiter{req: req, unit: uni, answers: make(chan answer, 1)}
	uni.queue.SetSlots(uni.limiter.Limit())
	evicted, err := uni.queue.Push(wai.item(adm.opt.Clock.Now()))
	if err != nil {
		return nil, err
	}
	if evicted != nil {
		uni.refuse(evicted.ID, refuser.ShareExceeded("workspace "+evicted.Workspace+" is over its share of the full queue", uni.queue.RetryAfter(*evicted)))
	}
	uni.waiting[req.ID] = wai
	adm.grantWaiting(uni)
	return wai, nil
}

func (adm *Admitter) cancelWaiting(wai *waiter, ref refuser.Refusal) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	if wai.unit.waiting[wai.req.ID] == wai && wai.unit.queue.Remove(wai.req.ID) {
		wai.unit.refuse(wai.req.ID, ref)
	}
}

// grantWaiting grants tickets to queued requests while the limiter has free slots.
func (adm *Admitter) grantWaiting(uni *unit) {
	for uni.state.admits() && uni.queue.Len() > 0 {
		per, free := uni.limiter.Acquire()
		if !free {
			return
		}
		itm, found := uni.queue.Pop(uni.eligible)
		if !found {
			uni.limiter.Release(per, limiter.Outcome{Undispatched: true})
			return
		}
		if !itm.StartBy.IsZero() && !itm.StartBy.After(adm.opt.Clock.Now()) {
			uni.limiter.Release(per, limiter.Outcome{Undispatched: true})
			uni.refuse(itm.ID, refuser.NotRun("the deadline passed while the request was queued", refuser.DefaultRetryAfter))
			continue
		}
		adm.grant(uni, itm.ID, per)
	}
}

func (adm *Admitter) grant(uni *unit, id string, per limiter.Permit) {
	wai := uni.waiting[id]
	delete(uni.waiting, id)
	now := adm.opt.Clock.Now()
	adm.lastTicket++
	tic := Ticket{
		ID:       adm.opt.Incarnation + "-" + strconv.FormatUint(adm.lastTicket, 10),
		Unit:     uni.cfg.Name,
		Fence:    uni.cfg.Fence,
		ValidFor: adm.opt.Validity,
	}
	gra := &grant{ticket: tic, req: wai.req, unit: uni, permit: per, grantedAt: now}
	adm.tickets[tic.ID] = gra
	uni.running[id] = gra
	if wai.req.Suspect {
		uni.runningSuspects++
	}
	uni.assertOneSuspect()
	wai.answers <- answer{ticket: tic}
}

func (adm *Admitter) finish(gra *grant, out limiter.Outcome) {
	delete(adm.tickets, gra.ticket.ID)
	uni := gra.unit
	delete(uni.running, gra.req.ID)
	uni.limiter.Release(gra.permit, out)
	if gra.req.Suspect {
		uni.endSuspect(out.MayRun)
	}
	if out.Completed() {
		uni.queue.RecordCompletion(gra.req.Cost, adm.opt.Clock.Since(gra.grantedAt))
	}
	adm.grantWaiting(uni)
}
