package ticketer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
)

const (
	retryAfter         = time.Second
	admitTimeoutMargin = time.Second
	minRetryDelay      = 250 * time.Millisecond
	maxRetryDelay      = 5 * time.Second
	callTimeout        = 2 * time.Second
)

// LocalHome admits requests to the units whose home is this entry.
type LocalHome interface {
	Admit(ctx context.Context, req admitter.Request) keeper.Admission
	Release(ticketID string, out limiter.Outcome)
	Withdraw(unit, requestID string)
}

// RemoteHomes calls the homes at other entries; after any error but messenger.ErrNotSent the call may or may not have been executed.
type RemoteHomes interface {
	Admit(ctx context.Context, address string, req admitter.Request) (keeper.Admission, error)
	Release(ctx context.Context, address string, req ReleaseRequest) error
	Withdraw(ctx context.Context, address string, req WithdrawRequest) error
}

// ReleaseRequest asks the home of a unit to release a ticket.
type ReleaseRequest struct {
	TicketID string
	Outcome  limiter.Outcome
}

// WithdrawRequest asks the home of a unit to withdraw a request for a ticket, or the ticket that it was granted.
type WithdrawRequest struct {
	Unit      string
	RequestID string
}

// HeldTicket is a granted ticket; the request must be dispatched before DispatchBefore.
type HeldTicket struct {
	Unit           string
	Fence          int64
	Started        string
	DispatchBefore time.Time
	ticketID       string
	home           reducer.Member
}

// Options configure a ticketer: View returns the log state and Self the incarnation of this entry.
type Options struct {
	View        func() *reducer.View
	Self        func() string
	LocalHome   LocalHome
	RemoteHomes RemoteHomes
	Clock       clockwork.Clock
}

// Ticketer acquires and releases tickets on behalf of one entry.
type Ticketer struct {
	opt Options
}

// New returns a ticketer with the given options.
func New(opt Options) *Ticketer {
	return &Ticketer{opt: opt}
}

// Acquire acquires a ticket from the home of a unit; it fails with a refuser.Refusal of type not_run, and then no ticket is held.
func (tic *Ticketer) Acquire(ctx context.Context, req admitter.Request) (HeldTicket, error) {
	home, live := tic.opt.View().HomeOf(req.Unit)
	if !live {
		return HeldTicket{}, refuser.NotRun("unit "+req.Unit+" has no home at present", retryAfter)
	}
	req.Holder = tic.opt.Self()
	asked := tic.opt.Clock.Now()
	adm, err := tic.requestTicket(ctx, home, req)
	if err != nil {
		return HeldTicket{}, refuser.NotRun("the home of unit "+req.Unit+" does not answer", retryAfter)
	}
	if adm.Refusal != nil {
		return HeldTicket{}, *adm.Refusal
	}
	return HeldTicket{
		Unit:           req.Unit,
		Fence:          adm.Ticket.Fence,
		Started:        adm.Started,
		DispatchBefore: asked.Add(adm.Waited + adm.Ticket.ValidFor),
		ticketID:       adm.Ticket.ID,
		home:           home,
	}, nil
}

func (tic *Ticketer) requestTicket(ctx context.Context, home reducer.Member, req admitter.Request) (keeper.Admission, error) {
	if home.Incarnation == tic.opt.Self() {
		return tic.opt.LocalHome.Admit(ctx, req), nil
	}
	ctx, stop := context.WithTimeout(ctx, req.Within+admitTimeoutMargin)
	defer stop()
	adm, err := tic.opt.RemoteHomes.Admit(ctx, home.RPCAddress, req)
	if err != nil && !errors.Is(err, messenger.ErrNotSent) {
		go tic.withdraw(home, req)
	}
	return adm, err
}

// withdraw withdraws a request for a ticket whose answer was lost, so that the home does not keep the slot occupied.
func (tic *Ticketer) withdraw(home reducer.Member, req admitter.Request) {
	tic.retryUntilAnswered(home, func(ctx context.Context) error {
		return tic.opt.RemoteHomes.Withdraw(ctx, home.RPCAddress, WithdrawRequest{Unit: req.Unit, RequestID: req.ID})
	})
}

// Release releases a ticket with the outcome of its request; it does not wait for a remote home.
func (tic *Ticketer) Release(hel HeldTicket, out limiter.Outcome) {
	if hel.home.Incarnation == tic.opt.Self() {
		tic.opt.LocalHome.Release(hel.ticketID, out)
		return
	}
	go tic.retryUntilAnswered(hel.home, func(ctx context.Context) error {
		return tic.opt.RemoteHomes.Release(ctx, hel.home.RPCAddress, ReleaseRequest{TicketID: hel.ticketID, Outcome: out})
	})
}

// retryUntilAnswered repeats a call to a home, with exponential backoff, until the home answers or is no longer a member.
func (tic *Ticketer) retryUntilAnswered(home reducer.Member, call func(ctx context.Context) error) {
	delay := minRetryDelay
	for {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		err := call(ctx)
		stop()
		if err == nil {
			return
		}
		if _, live := tic.opt.View().Members[home.Incarnation]; !live {
			return
		}
		tic.opt.Clock.Sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}
