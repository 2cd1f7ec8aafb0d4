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

// run is one call on its way.
type run struct {
	com     *Completer
	cal     Call
	fpr     string
	sink    *counter
	tried   map[string]bool
	started int
	refused int
	last    refuser.Refusal
}

// attempt tries one unit; done says that the result or the error is final.
func (one *run) attempt(ctx context.Context) (streamer.Result, bool, error) {
	if one.com.opt.Quarantine.Condemned(one.fpr) {
		return streamer.Result{}, true, refuser.Condemned("the request crashed the backend servers that ran it")
	}
	unit, found := one.pick()
	if !found {
		return streamer.Result{}, true, one.final("no replica group of model " + one.cal.Model + " serves now")
	}
	hel, err := one.com.opt.Tickets.Acquire(ctx, one.request(unit))
	if err != nil {
		return one.refusedBy(ctx, unit, err)
	}
	return one.stream(ctx, hel)
}

func (one *run) pick() (string, bool) {
	vie := one.com.opt.View()
	req := balancer.Request{Prefix: balancer.Prefix(one.cal.Workspace + one.cal.Prompt), Zone: one.com.opt.Zone, Tried: one.tried}
	can, found := one.com.opt.Balancer.Pick(req, one.com.opt.Candidates(vie, one.cal.Model))
	return can.Unit, found
}

func (one *run) request(unit string) admitter.Request {
	vie := one.com.opt.View()
	rul := vie.Catalog.Rules.Workspaces[one.cal.Workspace]
	return admitter.Request{
		ID:        one.cal.RequestID + "." + strconv.Itoa(one.started+one.refused),
		Unit:      unit,
		Fence:     vie.Groups[unit].Fence,
		Workspace: one.cal.Workspace,
		Priority:  rul.Priority,
		Weight:    max(1, rul.Weight),
		Cost:      float64(one.cal.MaxTokens),
		Within:    min(one.com.opt.Queue, one.cal.Deadline.Sub(one.com.opt.Clock.Now())),
		Suspect:   one.com.opt.Quarantine.IsSuspect(one.fpr),
	}
}

// refusedBy notes that a unit was refused; done says that this is the last word.
func (one *run) refusedBy(ctx context.Context, unit string, err error) (streamer.Result, bool, error) {
	one.tried[unit] = true
	one.refused++
	one.last = refuser.From(err)
	if ctx.Err() != nil || one.refused >= maxRefused || one.untried() == 0 {
		return streamer.Result{}, true, one.final(one.last.Message)
	}
	return streamer.Result{}, false, nil
}

func (one *run) untried() int {
	count := 0
	for _, can := range one.com.opt.Candidates(one.com.opt.View(), one.cal.Model) {
		if !one.tried[can.Unit] {
			count++
		}
	}
	return count
}

// final is the refusal that is true for all that was tried.
func (one *run) final(message string) refuser.Refusal {
	if one.started > 0 {
		ref := refuser.OutcomeUnknown("broken after " + strconv.Itoa(one.sink.tokens) + " tokens: " + message)
		ref.RetryAfter = retryAfter
		return ref
	}
	ref := refuser.NotRun(message, retryAfter)
	if one.last.Type == refuser.TypeNotRun {
		ref.Status = one.last.Status
		ref.RetryAfter = max(one.last.RetryAfter, retryAfter)
	}
	return ref
}

func (one *run) stream(ctx context.Context, hel ticketer.HeldTicket) (streamer.Result, bool, error) {
	opt := one.com.opt
	vie := opt.View()
	grp := vie.Groups[hel.Unit]
	if len(grp.VMs) == 0 || !opt.Clock.Now().Before(hel.DispatchBefore) {
		opt.Tickets.Release(hel, limiter.Outcome{Undispatched: true})
		return one.refusedBy(ctx, hel.Unit, refuser.NotRun("the ticket was too old", retryAfter))
	}
	cal := streamer.Call{
		Address:    vie.Catalog.Inventory.VMs[grp.VMs[0]].Address,
		Group:      hel.Unit,
		Fence:      hel.Fence,
		RequestID:  one.cal.RequestID,
		ResumeFrom: one.sink.tokens,
		Priority:   vie.Catalog.Rules.Workspaces[one.cal.Workspace].Priority,
		ColdLimit:  vie.Catalog.Inventory.Models[one.cal.Model].ColdLimit,
		Body:       one.cal.Body,
	}
	begun := opt.Clock.Now()
	before := one.sink.tokens
	streaming, stop := context.WithCancel(ctx)
	defer stop()
	one.sink.begin()
	go one.sink.watch(streaming, stop)
	res, err := opt.Engines.Stream(streaming, cal, one.sink)
	out := one.sink.outcome(begun, before)
	if err == nil {
		opt.Tickets.Release(hel, out)
		opt.Breaker.Success(hel.Unit)
		opt.Budget.Success()
		opt.Quarantine.RecordCompletion(one.fpr)
		return res, true, nil
	}
	return one.broken(ctx, hel, cal.Address, out, err)
}

func (one *run) broken(ctx context.Context, hel ticketer.HeldTicket, address string, out limiter.Outcome, err error) (streamer.Result, bool, error) {
	opt := one.com.opt
	if _, bad := errors.AsType[*streamer.RejectedError](err); bad {
		opt.Tickets.Release(hel, out)
		return streamer.Result{}, true, refuser.Invalid("the engine rejects the request")
	}
	if not, none := errors.AsType[*streamer.NotStartedError](err); none {
		out.Refused = not.Reason == streamer.ReasonCold || not.Reason == streamer.ReasonOverloaded
		out.Undispatched = !out.Refused
		opt.Tickets.Release(hel, out)
		opt.Breaker.Failure(hel.Unit)
		return one.refusedBy(ctx, hel.Unit, refuser.NotRun("the engine refused: "+string(not.Reason), retryAfter))
	}
	one.started++
	one.tried[hel.Unit] = true
	gone := ctx.Err() != nil || one.sink.left
	crashed := !gone && one.crashed(ctx, hel, address)
	out.Broken = crashed
	out.MayRun = !crashed
	opt.Tickets.Release(hel, out)
	if !gone {
		opt.Breaker.Failure(hel.Unit)
	}
	opt.Logger.WithError(err).WithFields(logrus.Fields{"request_id": one.cal.RequestID, "group": hel.Unit, "tokens": one.sink.tokens, "crashed": crashed}).Info("stream broken")
	if gone || one.started >= maxStarts || !opt.Budget.Allow() || !one.pause(ctx) {
		return streamer.Result{}, true, one.final(err.Error())
	}
	return streamer.Result{}, false, nil
}

// pause waits before the next attempt and reports whether the call still goes on.
func (one *run) pause(ctx context.Context) bool {
	opt := one.com.opt
	select {
	case <-ctx.Done():
		return false
	case <-opt.Clock.After(opt.Budget.Backoff(one.started)):
		return ctx.Err() == nil
	}
}

// crashed tells a unit that died under the request from a stream that merely broke; a check that the call's end cuts short proves nothing.
func (one *run) crashed(call context.Context, hel ticketer.HeldTicket, address string) bool {
	opt := one.com.opt
	ctx, stop := context.WithTimeout(call, checkTimeout)
	defer stop()
	vm := ""
	if grp := opt.View().Groups[hel.Unit]; len(grp.VMs) > 0 {
		vm = grp.VMs[0]
	}
	sta, err := opt.Checker.Status(ctx, vm, address)
	if err == nil && sta.Started == hel.Started && sta.Group == hel.Unit && sta.Fence == hel.Fence {
		return false
	}
	if call.Err() != nil {
		return false
	}
	opt.Quarantine.RecordCrash(one.fpr, one.cal.Workspace, hel.Unit, quarantiner.CrashID(hel.Unit, hel.Fence, hel.Started))
	return true
}
