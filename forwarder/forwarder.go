package forwarder

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/invoker"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/ticketer"
)

const (
	maxStarts   = 3
	maxAttempts = 4
	retryAfter  = time.Second
	maxHops     = 2
)

// Call is one call to a service; Key is the idempotency key or empty, Within is the time left to run the call, and Hops counts the entries that forwarded it.
type Call struct {
	RequestID string
	Workspace string
	Service   string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	Key       string
	Within    time.Duration
	Hops      int
}

// Answer is the answer of the service, or a refusal; Replayed is set when the answer is the stored one of an earlier send.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool
	Refusal  *refuser.Refusal
}

// Tickets acquires tickets from the homes of units and releases them.
type Tickets interface {
	Acquire(ctx context.Context, req admitter.Request) (ticketer.HeldTicket, error)
	Release(hel ticketer.HeldTicket, out limiter.Outcome)
}

// ServiceClient sends calls to the backend servers of services.
type ServiceClient interface {
	Invoke(ctx context.Context, cal invoker.Call) (invoker.Response, error)
}

// Balancer picks the unit for an attempt; it reports false if there is none.
type Balancer interface {
	Pick(req balancer.Request, cands []balancer.Candidate) (balancer.Candidate, bool)
}

// EntryClient forwards a call to the entry at an address; after an error the call may or may not have run there.
type EntryClient interface {
	Forward(ctx context.Context, address string, cal Call) (Answer, error)
}

// Options configures a Forwarder; Candidates lists the serving VMs of a service, and MaxQueueTime is the longest time that an attempt waits for a ticket.
type Options struct {
	View         func() *reducer.View
	Candidates   func(vie *reducer.View, service string) []balancer.Candidate
	Claimer      func() *claimer.Claimer
	Tickets      Tickets
	Services     ServiceClient
	Balancer     Balancer
	Entries      EntryClient
	Clock        clockwork.Clock
	MaxQueueTime time.Duration
	Zone         string
}

// Forwarder forwards service calls for one entry.
type Forwarder struct {
	opt Options
}

// New returns a Forwarder with the given options.
func New(opt Options) *Forwarder {
	return &Forwarder{opt: opt}
}

// Forward runs a call, replays the stored answer of its key, or forwards the call to the entry that holds the key.
func (fwd *Forwarder) Forward(ctx context.Context, cal Call) Answer {
	deadline := fwd.opt.Clock.Now().Add(cal.Within)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	repeatable := fwd.idempotent(cal)
	if repeatable || cal.Key == "" {
		return fwd.runOnServers(ctx, cal, repeatable)
	}
	cla := fwd.opt.Claimer()
	dec, err := cla.Begin(ctx, cal.Key, fingerprint(cal))
	if err != nil {
		return refusalAnswer(claimRefusal(err))
	}
	cal.Within = deadline.Sub(fwd.opt.Clock.Now())
	switch dec.Verdict {
	case claimer.VerdictReplay:
		return replayAnswer(dec.Outcome)
	case claimer.VerdictForward:
		return fwd.forwardToOwner(ctx, cal, dec.Incarnation)
	default:
		return fwd.runOnce(ctx, cla, cal)
	}
}

func (fwd *Forwarder) idempotent(cal Call) bool {
	for _, met := range fwd.opt.View().Catalog.Inventory.Services[cal.Service].Idempotent {
		if met == cal.Method {
			return true
		}
	}
	return false
}

// runOnce runs the call of a key and records its outcome, even if the caller disconnects.
func (fwd *Forwarder) runOnce(ctx context.Context, cla *claimer.Claimer, cal Call) Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cal.Within)
	defer cancel()
	finished := false
	defer func() {
		if !finished {
			cla.Finish(cal.Key, claimer.Outcome{State: claimer.StateUnknown})
		}
	}()
	ans := fwd.runOnServers(ctx, cal, false)
	finished = true
	cla.Finish(cal.Key, outcomeOf(ans))
	return ans
}

// forwardToOwner forwards a call to the only incarnation that may run its key.
func (fwd *Forwarder) forwardToOwner(ctx context.Context, cal Call, inc string) Answer {
	mem, live := fwd.opt.View().Members[inc]
	if !live || cal.Hops >= maxHops {
		return refusalAnswer(refuser.OutcomeUnknown("the entry that holds the key is gone"))
	}
	cal.Hops++
	ans, err := fwd.opt.Entries.Forward(ctx, mem.RPCAddress, cal)
	if err != nil {
		ref := refuser.OutcomeUnknown("entry " + mem.Name + ", which holds the key, does not answer")
		ref.RetryAfter = retryAfter
		return refusalAnswer(ref)
	}
	return ans
}

// runOnServers tries one backend server after another until one answers; it stops once a server may have run the call, unless the call is repeatable.
func (fwd *Forwarder) runOnServers(ctx context.Context, cal Call, repeatable bool) Answer {
	tried := map[string]bool{}
	lastRefusal := refuser.NotRun("no backend server of service "+cal.Service+" is available", retryAfter)
	starts := 0
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		cands := fwd.opt.Candidates(fwd.opt.View(), cal.Service)
		can, found := fwd.opt.Balancer.Pick(balancer.Request{Zone: fwd.opt.Zone, Tried: tried}, cands)
		if !found || tried[can.Unit] {
			break
		}
		tried[can.Unit] = true
		res, err := fwd.send(ctx, cal, can.Unit, attempt, repeatable)
		if err == nil {
			return Answer{Status: res.Status, Header: res.Header, Body: res.Body}
		}
		lastRefusal = refuser.FromError(err)
		if lastRefusal.Type != refuser.TypeNotRun {
			starts++
			if !repeatable || starts >= maxStarts {
				return refusalAnswer(lastRefusal)
			}
		}
	}
	if starts > 0 {
		lastRefusal = refuser.OutcomeUnknown(lastRefusal.Message)
		lastRefusal.RetryAfter = retryAfter
	}
	return refusalAnswer(lastRefusal)
}

func (fwd *Forwarder) send(ctx context.Context, cal Call, unit string, attempt int, repeatable bool) (invoker.Response, error) {
	hel, err := fwd.opt.Tickets.Acquire(ctx, fwd.request(cal, unit, attempt))
	if err != nil {
		return invoker.Response{}, err
	}
	if !fwd.opt.Clock.Now().Before(hel.DispatchBefore) {
		fwd.opt.Tickets.Release(hel, limiter.Outcome{Undispatched: true})
		return invoker.Response{}, refuser.NotRun("the ticket expired before dispatch", retryAfter)
	}
	res, err := fwd.opt.Services.Invoke(ctx, invoker.Call{
		Method:     cal.Method,
		Address:    fwd.opt.View().Catalog.Inventory.VMs[unit].Address,
		Path:       cal.Path,
		Header:     cal.Header,
		Body:       cal.Body,
		RequestID:  cal.RequestID,
		ColdLimit:  fwd.opt.View().Catalog.Inventory.Services[cal.Service].ColdLimit,
		Repeatable: repeatable,
	})
	out, err := classify(err)
	fwd.opt.Tickets.Release(hel, out)
	return res, err
}

func (fwd *Forwarder) request(cal Call, unit string, attempt int) admitter.Request {
	rul := fwd.opt.View().Catalog.Rules.Workspaces[cal.Workspace]
	return admitter.Request{
		ID:        cal.RequestID + "." + strconv.Itoa(attempt),
		Unit:      unit,
		Workspace: cal.Workspace,
		Priority:  rul.Priority,
		Weight:    max(1, rul.Weight),
		Cost:      1,
		Within:    min(fwd.opt.MaxQueueTime, cal.Within),
	}
}

// classify returns the ticket outcome for the home and the refusal for the caller that follow from the error of a call.
func classify(err error) (limiter.Outcome, error) {
	if err == nil {
		return limiter.Outcome{}, nil
	}
	if _, notRun := errors.AsType[*invoker.NotRunError](err); notRun {
		return limiter.Outcome{Refused: true}, refuser.NotRun(err.Error(), retryAfter)
	}
	return limiter.Outcome{Broken: true, MayRun: true}, refuser.OutcomeUnknown(err.Error())
}

func fingerprint(cal Call) string {
	dig := xxhash.New()
	for _, part := range []string{cal.Workspace, cal.Service, cal.Method, cal.Path} {
		_, _ = dig.WriteString(part)
		_, _ = dig.Write([]byte{0})
	}
	_, _ = dig.Write(cal.Body)
	return hex.EncodeToString(dig.Sum(nil))
}
