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
	maxStarts  = 3
	maxRefused = 4
	retryAfter = time.Second
	maxHops    = 2
)

// Call is one call of a plain service; Key is empty without an idempotency key, and Hops counts the entries that passed it on.
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

// Answer is the service's answer, or a refusal.
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

// Services sends calls to service VMs.
type Services interface {
	Invoke(ctx context.Context, cal invoker.Call) (invoker.Response, error)
}

// Balancer picks a unit.
type Balancer interface {
	Pick(req balancer.Request, cands []balancer.Candidate) (balancer.Candidate, bool)
}

// Entries passes a call on to the entry at an address; an error leaves it open whether the call ran there.
type Entries interface {
	Forward(ctx context.Context, address string, cal Call) (Answer, error)
}

// Options are what a forwarder needs; Candidates lists the VMs of a service that serve.
type Options struct {
	View       func() *reducer.View
	Candidates func(vie *reducer.View, service string) []balancer.Candidate
	Claimer    func() *claimer.Claimer
	Tickets    Tickets
	Services   Services
	Balancer   Balancer
	Entries    Entries
	Clock      clockwork.Clock
	Queue      time.Duration
	Zone       string
}

// Forwarder forwards calls for one entry.
type Forwarder struct {
	opt Options
}

// New returns a forwarder.
func New(opt Options) *Forwarder {
	return &Forwarder{opt: opt}
}

// Forward runs a call, or has the entry that holds its key run it.
func (fwd *Forwarder) Forward(ctx context.Context, cal Call) Answer {
	end := fwd.opt.Clock.Now().Add(cal.Within)
	ctx, stop := context.WithDeadline(ctx, end)
	defer stop()
	repeatable := fwd.idempotent(cal)
	if repeatable || cal.Key == "" {
		return fwd.run(ctx, cal, repeatable)
	}
	cla := fwd.opt.Claimer()
	dec, err := cla.Begin(ctx, cal.Key, fingerprint(cal))
	if err != nil {
		return refused(refusalOf(err))
	}
	cal.Within = end.Sub(fwd.opt.Clock.Now())
	switch dec.Verdict {
	case claimer.VerdictReplay:
		return replayed(dec.Outcome)
	case claimer.VerdictForward:
		return fwd.pass(ctx, cal, dec.Incarnation)
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

// runOnce runs the call of a key and keeps its outcome, also when the caller has gone.
func (fwd *Forwarder) runOnce(ctx context.Context, cla *claimer.Claimer, cal Call) Answer {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cal.Within)
	defer stop()
	finished := false
	defer func() {
		if !finished {
			cla.Finish(cal.Key, claimer.Outcome{State: claimer.StateUnknown})
		}
	}()
	ans := fwd.run(ctx, cal, false)
	finished = true
	cla.Finish(cal.Key, outcomeOf(ans))
	return ans
}

// pass hands a call to the incarnation that alone may run its key.
func (fwd *Forwarder) pass(ctx context.Context, cal Call, inc string) Answer {
	mem, live := fwd.opt.View().Members[inc]
	if !live || cal.Hops >= maxHops {
		return refused(refuser.OutcomeUnknown("the entry that holds the key is gone"))
	}
	cal.Hops++
	ans, err := fwd.opt.Entries.Forward(ctx, mem.RPCAddress, cal)
	if err != nil {
		ref := refuser.OutcomeUnknown("entry " + mem.Name + ", which holds the key, does not answer")
		ref.RetryAfter = retryAfter
		return refused(ref)
	}
	return ans
}

// run sends the call to one backend server after the other, as long as none may have run it or the call is repeatable.
func (fwd *Forwarder) run(ctx context.Context, cal Call, repeatable bool) Answer {
	tried := map[string]bool{}
	last := refuser.NotRun("no backend server of service "+cal.Service+" serves now", retryAfter)
	starts := 0
	for try := 0; try < maxRefused && ctx.Err() == nil; try++ {
		cands := fwd.opt.Candidates(fwd.opt.View(), cal.Service)
		can, found := fwd.opt.Balancer.Pick(balancer.Request{Zone: fwd.opt.Zone, Tried: tried}, cands)
		if !found || tried[can.Unit] {
			break
		}
		tried[can.Unit] = true
		res, err := fwd.send(ctx, cal, can.Unit, try, repeatable)
		if err == nil {
			return Answer{Status: res.Status, Header: res.Header, Body: res.Body}
		}
		last = refuser.From(err)
		if last.Type != refuser.TypeNotRun {
			starts++
			if !repeatable || starts >= maxStarts {
				return refused(last)
			}
		}
	}
	if starts > 0 {
		last = refuser.OutcomeUnknown(last.Message)
		last.RetryAfter = retryAfter
	}
	return refused(last)
}

func (fwd *Forwarder) send(ctx context.Context, cal Call, unit string, try int, repeatable bool) (invoker.Response, error) {
	hel, err := fwd.opt.Tickets.Acquire(ctx, fwd.request(cal, unit, try))
	if err != nil {
		return invoker.Response{}, err
	}
	if !fwd.opt.Clock.Now().Before(hel.DispatchBefore) {
		fwd.opt.Tickets.Release(hel, limiter.Outcome{Undispatched: true})
		return invoker.Response{}, refuser.NotRun("the ticket was too old", retryAfter)
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
	out, err := judge(err)
	fwd.opt.Tickets.Release(hel, out)
	return res, err
}

func (fwd *Forwarder) request(cal Call, unit string, try int) admitter.Request {
	rul := fwd.opt.View().Catalog.Rules.Workspaces[cal.Workspace]
	return admitter.Request{
		ID:        cal.RequestID + "." + strconv.Itoa(try),
		Unit:      unit,
		Workspace: cal.Workspace,
		Priority:  rul.Priority,
		Weight:    max(1, rul.Weight),
		Cost:      1,
		Within:    min(fwd.opt.Queue, cal.Within),
	}
}

// judge tells what a call that ended with an error did to the backend server, and to the caller.
func judge(err error) (limiter.Outcome, error) {
	if err == nil {
		return limiter.Outcome{}, nil
	}
	if _, not := errors.AsType[*invoker.NotRunError](err); not {
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
