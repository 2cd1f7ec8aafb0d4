package keeper

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/watcher"
)

const retryAfter = time.Second

// Admission is the answer of a unit's home: a ticket that was granted after waiting for Waited, or a refusal if Refusal is not nil.
type Admission struct {
	Ticket  admitter.Ticket
	Waited  time.Duration
	Started string
	Refusal *refuser.Refusal
}

// Admit waits for a ticket; it checks again that the unit serves before it hands the ticket out, since that may have changed during the wait.
func (kee *Keeper) Admit(ctx context.Context, req admitter.Request) Admission {
	if ref := kee.checkServing(req.Unit); ref != nil {
		return Admission{Refusal: ref}
	}
	asked := kee.opt.Clock.Now()
	tic, err := kee.opt.Admitter.Admit(ctx, req)
	waited := kee.opt.Clock.Since(asked)
	if err != nil {
		ref := refuser.FromError(err)
		return Admission{Refusal: &ref}
	}
	if ref := kee.checkServing(req.Unit); ref != nil {
		_ = kee.opt.Admitter.Release(tic.ID, limiter.Outcome{Undispatched: true})
		return Admission{Refusal: ref}
	}
	return Admission{Ticket: tic, Waited: waited, Started: kee.serverStart(req.Unit)}
}

func (kee *Keeper) checkServing(unit string) *refuser.Refusal {
	vie := kee.opt.View()
	if vie.Homes[unit].Incarnation != kee.opt.Self() {
		ref := refuser.NotRun("this entry is not the home of unit "+unit, retryAfter)
		return &ref
	}
	if sta := kee.opt.Freshness(); !sta.Fresh {
		ref := refuser.NotRun("the state at the home of unit "+unit+" is not fresh: "+sta.Explanation, retryAfter)
		return &ref
	}
	stage, reason := kee.opt.Stager.Stage(vie, unit)
	if stage != watcher.StageServing {
		ref := refuser.NotRun("unit "+unit+" does not serve: "+reason, retryAfter)
		return &ref
	}
	return nil
}

// Release releases a ticket with the outcome of its request; an unknown ticket is ignored.
func (kee *Keeper) Release(ticketID string, out limiter.Outcome) {
	_ = kee.opt.Admitter.Release(ticketID, out)
}

// Withdraw withdraws a request whose answer did not reach the caller; an unknown request is ignored.
func (kee *Keeper) Withdraw(unit, requestID string) {
	_ = kee.opt.Admitter.Withdraw(unit, requestID)
}
