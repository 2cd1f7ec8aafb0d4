package completer

import (
	"context"
	"strconv"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/streamer"
	"github.com/lovagelever/lovagelever/ticketer"
)

// execution is the state of one running call; starts counts the attempts that an engine may have run, and refusals the attempts that ran nothing.
type execution struct {
	com         *Completer
	cal         Call
	fpr         string
	sink        *countingSink
	tried       map[string]bool
	starts      int
	refusals    int
	lastRefusal refuser.Refusal
}

// attempt tries one unit; the boolean reports whether the result or the error is final.
func (exe *execution) attempt(ctx context.Context) (streamer.Result, bool, error) {
	if exe.com.opt.Quarantine.Condemned(exe.fpr) {
		return streamer.Result{}, true, refuser.Condemned("the request crashed the backend servers that ran it")
	}
	if _, refused := exe.com.opt.Quarantine.Check(exe.cal.PromptParts); refused {
		return streamer.Result{}, true, exe.finalRefusal("requests that share a part of this prompt crashed the backend servers that ran them")
	}
	unit, found := exe.pick()
	if !found {
		return streamer.Result{}, true, exe.finalRefusal("no replica group of model " + exe.cal.Model + " is serving")
	}
	hel, err := exe.com.opt.Tickets.Acquire(ctx, exe.request(unit))
	if err != nil {
		return exe.recordRefusal(ctx, unit, err)
	}
	return exe.stream(ctx, hel)
}

func (exe *execution) pick() (string, bool) {
	vie := exe.com.opt.View()
	req := balancer.Request{Prefix: balancer.Prefix(exe.cal.Workspace + exe.cal.Prompt), Zone: exe.com.opt.Zone, Tried: exe.tried}
	can, found := exe.com.opt.Balancer.Pick(req, exe.com.opt.Candidates(vie, exe.cal.Model))
	return can.Unit, found
}

func (exe *execution) request(unit string) admitter.Request {
	vie := exe.com.opt.View()
	rul := vie.Catalog.Rules.Workspaces[exe.cal.Workspace]
	return admitter.Request{
		ID:        exe.cal.RequestID + "." + strconv.Itoa(exe.starts+exe.refusals),
		Unit:      unit,
		Fence:     vie.Groups[unit].Fence,
		Workspace: exe.cal.Workspace,
		Priority:  rul.Priority,
		Weight:    max(1, rul.Weight),
		Cost:      float64(exe.cal.MaxTokens),
		Within:    min(exe.com.opt.MaxQueueTime, exe.cal.Deadline.Sub(exe.com.opt.Clock.Now())),
		Suspect:   exe.com.opt.Quarantine.IsSuspect(exe.fpr),
	}
}

// recordRefusal records that a unit did not run the request; the boolean reports whether the returned error is final.
func (exe *execution) recordRefusal(ctx context.Context, unit string, err error) (streamer.Result, bool, error) {
	exe.tried[unit] = true
	exe.refusals++
	exe.lastRefusal = refuser.FromError(err)
	if ctx.Err() != nil || exe.refusals >= maxRefusals || exe.untried() == 0 {
		return streamer.Result{}, true, exe.finalRefusal(exe.lastRefusal.Message)
	}
	return streamer.Result{}, false, nil
}

func (exe *execution) untried() int {
	count := 0
	for _, can := range exe.com.opt.Candidates(exe.com.opt.View(), exe.cal.Model) {
		if !exe.tried[can.Unit] {
			count++
		}
	}
	return count
}

// finalRefusal returns the refusal that holds for all attempts: outcome unknown if any of them started, not run otherwise.
func (exe *execution) finalRefusal(message string) refuser.Refusal {
	if exe.starts > 0 {
		ref := refuser.OutcomeUnknown("answer incomplete after " + strconv.Itoa(exe.sink.tokens) + " tokens: " + message)
		ref.RetryAfter = retryAfter
		return ref
	}
	ref := refuser.NotRun(message, retryAfter)
	if exe.lastRefusal.Type == refuser.TypeNotRun {
		ref.Status = exe.lastRefusal.Status
		ref.RetryAfter = max(exe.lastRefusal.RetryAfter, retryAfter)
	}
	return ref
}

func (exe *execution) stream(ctx context.Context, hel ticketer.HeldTicket) (streamer.Result, bool, error) {
	opt := exe.com.opt
	vie := opt.View()
	grp := vie.Groups[hel.Unit]
	if len(grp.VMs) == 0 || !opt.Clock.Now().Before(hel.DispatchBefore) {
		opt.Tickets.Release(hel, limiter.Outcome{Undispatched: true})
		return exe.recordRefusal(ctx, hel.Unit, refuser.NotRun("the ticket expired before dispatch", retryAfter))
	}
	cal := streamer.Call{
		Address:    vie.Catalog.Inventory.VMs[grp.VMs[0]].Address,
		Group:      hel.Unit,
		Fence:      hel.Fence,
		RequestID:  exe.cal.RequestID,
		ResumeFrom: exe.sink.tokens,
		Priority:   vie.Catalog.Rules.Workspaces[exe.cal.Workspace].Priority,
		ColdLimit:  vie.Catalog.Inventory.Models[exe.cal.Model].ColdLimit,
		Body:       exe.cal.Body,
	}
	startedAt := opt.Clock.Now()
	tokensBefore := exe.sink.tokens
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	exe.sink.startAttempt()
	go exe.sink.cancelOnStall(streamCtx, cancel)
	res, err := opt.Engines.Stream(streamCtx, cal, exe.sink)
	out := exe.sink.outcome(startedAt, tokensBefore)
	if err == nil {
		opt.Tickets.Release(hel, out)
		opt.Breaker.Success(hel.Unit)
		opt.Budget.Success()
		opt.Quarantine.RecordCompletion(exe.fpr)
		if began := exe.sink.began(); !began.IsZero() {
			opt.Quarantine.RecordSound(exe.cal.PromptParts, began)
		}
		return res, true, nil
	}
	return exe.handleFailure(ctx, hel, cal.Address, out, err)
}

func (exe *execution) handleFailure(ctx context.Context, hel ticketer.HeldTicket, address string, out limiter.Outcome, err error) (streamer.Result, bool, error) {
	opt := exe.com.opt
	if _, rejected := errors.AsType[*streamer.RejectedError](err); rejected {
		opt.Tickets.Release(hel, out)
		return streamer.Result{}, true, refuser.Invalid("the engine rejected the request")
	}
	if nse, notStarted := errors.AsType[*streamer.NotStartedError](err); notStarted {
		out.Refused = nse.Reason == streamer.ReasonCold || nse.Reason == streamer.ReasonOverloaded
		out.Undispatched = !out.Refused
		opt.Tickets.Release(hel, out)
		opt.Breaker.Failure(hel.Unit)
		return exe.recordRefusal(ctx, hel.Unit, refuser.NotRun("the engine refused the request: "+string(nse.Reason), retryAfter))
	}
	exe.starts++
	exe.tried[hel.Unit] = true
	callerGone := ctx.Err() != nil || exe.sink.callerLeft
	crashed := !callerGone && exe.checkCrash(ctx, hel, address)
	out.Broken = crashed
	out.MayRun = !crashed
	opt.Tickets.Release(hel, out)
	if !callerGone {
		opt.Breaker.Failure(hel.Unit)
	}
	opt.Logger.WithError(err).WithFields(logrus.Fields{"request_id": exe.cal.RequestID, "group": hel.Unit, "tokens": exe.sink.tokens, "crashed": crashed}).Info("stream broken")
	if crashed && opt.Quarantine.Implicated(exe.cal.PromptParts, crashID(hel)) {
		return streamer.Result{}, true, exe.finalRefusal("it may have crashed the backend server that ran it")
	}
	if callerGone || exe.starts >= maxStarts || !opt.Budget.Allow() || !exe.backOff(ctx) {
		return streamer.Result{}, true, exe.finalRefusal(err.Error())
	}
	return streamer.Result{}, false, nil
}

// backOff waits before the next attempt and reports whether the call is still active.
func (exe *execution) backOff(ctx context.Context) bool {
	opt := exe.com.opt
	select {
	case <-ctx.Done():
		return false
	case <-opt.Clock.After(opt.Budget.Backoff(exe.starts)):
		return ctx.Err() == nil
	}
}

func crashID(hel ticketer.HeldTicket) string {
	return quarantiner.CrashID(hel.Unit, hel.Fence, hel.Started)
}

// checkCrash reports whether the unit crashed while it ran the request, as opposed to a stream that broke; a status check that is cut short by the end of the call counts as no crash.
func (exe *execution) checkCrash(callCtx context.Context, hel ticketer.HeldTicket, address string) bool {
	opt := exe.com.opt
	brokenAt := opt.Clock.Now()
	ctx, cancel := context.WithTimeout(callCtx, statusTimeout)
	defer cancel()
	vm := ""
	if grp := opt.View().Groups[hel.Unit]; len(grp.VMs) > 0 {
		vm = grp.VMs[0]
	}
	sta, err := opt.Checker.Status(ctx, vm, address)
	if err == nil && sta.Started == hel.Started && sta.Group == hel.Unit && sta.Fence == hel.Fence {
		return false
	}
	if callCtx.Err() != nil {
		return false
	}
	crash := crashID(hel)
	opt.Quarantine.RecordCrash(exe.fpr, exe.cal.Workspace, hel.Unit, crash)
	if began := exe.sink.began(); began.IsZero() || brokenAt.Sub(began) < soundAfter {
		opt.Quarantine.RecordSuspects(exe.cal.PromptParts, crash, brokenAt)
	}
	return true
}
