package keeper

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/watcher"
)

const notServing = time.Second

// Admission is the answer of a unit's home: a ticket that was granted after Waited, or a refusal that is true.
type Admission struct {
	Ticket  admitter.Ticket
	Waited  time.Duration
	Started string
	Refusal *refuser.Refusal
}

// Admit waits for a ticket, and gives one only if the unit still serves at that moment.
func (kee *Keeper) Admit(ctx context.Context, req admitter.Request) Admission {
	if ref := kee.check(req.Unit); ref != nil {
		return Admission{Refusal: ref}
	}
	asked := kee.opt.Clock.Now()
	tic, err := kee.opt.Admitter.Admit(ctx, req)
	waited := kee.opt.Clock.Since(asked)
	if err != nil {
		ref := refuser.From(err)
		return Admission{Refusal: &ref}
	}
	if ref := kee.check(req.Unit); ref != nil {
		_ = kee.opt.Admitter.Release(tic.ID, limiter.Outcome{Undispatched: true})
		return Admission{Refusal: ref}
	}
	return Admission{Ticket: tic, Waited: waited, Started: kee.started(req.Unit)}
}

func (kee *Keeper) check(unit string) *refuser.Refusal {
	vie := kee.opt.View()
	if vie.Homes[unit].Incarnation != kee.opt.Self() {
		ref := refuser.NotRun("unit "+unit+" is not at home here", notServing)
		return &ref
	}
	if sta := kee.opt.Standing(); !sta.Fresh {
		ref := refuser.NotRun("the home of unit "+unit+" is not fresh: "+sta.Explanation, notServing)
		return &ref
	}
	stage, why := kee.opt.Stager.Stage(vie, unit)
	if stage != watcher.StageServing {
		ref := refuser.NotRun("unit "+unit+" does not serve: "+why, notServing)
		return &ref
	}
	return nil
}

// Release gives a ticket back with the outcome; an unknown ticket is passed over.
func (kee *Keeper) Release(ticketID string, out limiter.Outcome) {
	_ = kee.opt.Admitter.Release(ticketID, out)
}

// Withdraw takes a request back whose ticket did not arrive.
func (kee *Keeper) Withdraw(unit, requestID string) {
	_ = kee.opt.Admitter.Withdraw(unit, requestID)
}
