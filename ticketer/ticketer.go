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
	retryAfter    = time.Second
	answerSlack   = time.Second
	giveBackPause = 250 * time.Millisecond
	giveBackMost  = 5 * time.Second
	giveBackLimit = 2 * time.Second
)

// Home is the admission of the units that have their home at this entry.
type Home interface {
	Admit(ctx context.Context, req admitter.Request) keeper.Admission
	Release(ticketID string, out limiter.Outcome)
	Withdraw(unit, requestID string)
}

// Homes calls the homes at other entries; an error other than messenger.ErrNotSent leaves it open whether the call was carried out.
type Homes interface {
	Admit(ctx context.Context, address string, req admitter.Request) (keeper.Admission, error)
	Release(ctx context.Context, address string, req ReleaseRequest) error
	Withdraw(ctx context.Context, address string, req WithdrawRequest) error
}

// ReleaseRequest gives a ticket back to its home.
type ReleaseRequest struct {
	TicketID string
	Outcome  limiter.Outcome
}

// WithdrawRequest takes a request for a ticket back.
type WithdrawRequest struct {
	Unit      string
	RequestID string
}

// Held is a ticket in hand; dispatch must begin before Until.
type Held struct {
	Unit     string
	Fence    int64
	Started  string
	Until    time.Time
	ticketID string
	home     reducer.Member
}

// Options are what a ticketer needs.
type Options struct {
	View  func() *reducer.View
	Self  func() string
	Home  Home
	Homes Homes
	Clock clockwork.Clock
}

// Ticketer gets tickets for one entry.
type Ticketer struct {
	opt Options
}

// New returns a ticketer.
func New(opt Options) *Ticketer {
	return &Ticketer{opt: opt}
}

// Take asks the home of a unit for a ticket; it fails with a refuser.Refusal of type not_run, and then nothing is held.
func (tic *Ticketer) Take(ctx context.Context, req admitter.Request) (Held, error) {
	home, live := tic.opt.View().HomeOf(req.Unit)
	if !live {
		return Held{}, refuser.NotRun("unit "+req.Unit+" has no home now", retryAfter)
	}
	req.Holder = tic.opt.Self()
	asked := tic.opt.Clock.Now()
	adm, err := tic.ask(ctx, home, req)
	if err != nil {
		return Held{}, refuser.NotRun("the home of unit "+req.Unit+" does not answer", retryAfter)
	}
	if adm.Refusal != nil {
		return Held{}, *adm.Refusal
	}
	return Held{
		Unit:     req.Unit,
		Fence:    adm.Ticket.Fence,
		Started:  adm.Started,
		Until:    asked.Add(adm.Waited + adm.Ticket.ValidFor),
		ticketID: adm.Ticket.ID,
		home:     home,
	}, nil
}

func (tic *Ticketer) ask(ctx context.Context, home reducer.Member, req admitter.Request) (keeper.Admission, error) {
	if home.Incarnation == tic.opt.Self() {
		return tic.opt.Home.Admit(ctx, req), nil
	}
	ctx, stop := context.WithTimeout(ctx, req.Within+answerSlack)
	defer stop()
	adm, err := tic.opt.Homes.Admit(ctx, home.RPCAddress, req)
	if err != nil && !errors.Is(err, messenger.ErrNotSent) {
		go tic.withdraw(home, req)
	}
	return adm, err
}

// withdraw takes back a ticket whose answer was lost.
func (tic *Ticketer) withdraw(home reducer.Member, req admitter.Request) {
	tic.insist(home, func(ctx context.Context) error {
		return tic.opt.Homes.Withdraw(ctx, home.RPCAddress, WithdrawRequest{Unit: req.Unit, RequestID: req.ID})
	})
}

// Give gives a ticket back with the outcome; it does not wait for a remote home.
func (tic *Ticketer) Give(hel Held, out limiter.Outcome) {
	if hel.home.Incarnation == tic.opt.Self() {
		tic.opt.Home.Release(hel.ticketID, out)
		return
	}
	go tic.insist(hel.home, func(ctx context.Context) error {
		return tic.opt.Homes.Release(ctx, hel.home.RPCAddress, ReleaseRequest{TicketID: hel.ticketID, Outcome: out})
	})
}

// insist repeats a call to a home until it is answered or the home is no member any more.
func (tic *Ticketer) insist(home reducer.Member, call func(ctx context.Context) error) {
	pause := giveBackPause
	for {
		ctx, stop := context.WithTimeout(context.Background(), giveBackLimit)
		err := call(ctx)
		stop()
		if err == nil {
			return
		}
		if _, live := tic.opt.View().Members[home.Incarnation]; !live {
			return
		}
		tic.opt.Clock.Sleep(pause)
		pause = min(2*pause, giveBackMost)
	}
}
