package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/sender"
)

// errUnitSilent is the cause of cancelling an attempt whose silent unit another one has replaced.
const errUnitSilent = errors.ConstError("unit is silent")

// errUnitContinues is the cause of cancelling a request to a second unit when the first one goes on.
const errUnitContinues = errors.ConstError("the first unit continues")

// errUnitBroken is the cause of cancelling an attempt whose unit can no longer finish its running requests.
const errUnitBroken = errors.ConstError("unit is broken")

// errCallerWrite means that writing to the caller failed.
const errCallerWrite = errors.ConstError("writing to the caller failed")

// errAnswered means that the unit's response was forwarded as the final one.
const errAnswered = errors.ConstError("answered")

// relay is the state of a stream that is relayed to the caller.
type relay struct {
	*job
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	started     bool
	// unfinished says that a unit has sent a part of an event that the caller has not received.
	unfinished bool
	ctl        *http.ResponseController
	// placement is where the last attempt was sent, sentAt when, and partsSound says that the parts of the prompt proved sound there.
	placement  *dispatcher.Placement
	sentAt     time.Time
	partsSound bool
}

// serveStream handles a call with an event stream as response, and resumes the stream on another unit where the route allows it.
func (job *job) serveStream(ctx context.Context) {
	rel := &relay{job: job, lastEventID: job.cal.LastEventID, ctl: http.NewResponseController(job.wtr)}
	var next *attempt
	for {
		if next == nil {
			pla, err := job.acquire(ctx)
			if err != nil {
				rel.fail(err)
				return
			}
			next = newAttempt(ctx, pla)
		}
		unit := next.placement.Unit.ID
		rep, second, err := rel.attempt(ctx, next)
		if err == nil && !rep.ver.NotRun || errors.Is(err, errAnswered) {
			return
		}
		next = second
		if next == nil {
			if why := job.retryDenied(err, rep); why != "" {
				if err == nil {
					err = errors.Errorf("response with status %d", rep.res.StatusCode)
				}
				rel.fail(errors.Annotate(err, why))
				return
			}
		}
		job.log.WithFields(logrus.Fields{"unit": unit, "cause": causeOf(err, rep), "after": rel.lastEventID, "sends": job.sends}).Info("stream resumed elsewhere")
	}
}

// fail ends a stream that cannot be resumed; if events were already sent, it aborts the connection, so that the response does not look complete.
func (rel *relay) fail(err error) {
	if !rel.started {
		var ref refuser.Refusal
		if errors.As(err, &ref) {
			rel.refuse(err)
			return
		}
		rel.refuse(rel.refusalFor(err))
		return
	}
	outcome := OutcomeBrokenOff
	if rel.req.Context().Err() != nil {
		outcome = OutcomeCallerLeft
	}
	rel.log.WithFields(logrus.Fields{
		"why": err.Error(), "route": rel.rou.Name, "workspace": rel.wsp.Name, "after": rel.lastEventID, "sends": rel.sends,
		"after_ms": rel.gat.opt.Clock.Since(rel.arrived).Milliseconds(), "outcome": outcome,
	}).Info("stream broken off")
	rel.recordOutcome(outcome)
	panic(http.ErrAbortHandler)
}

// attempt sends the call to one unit unless that was done, and relays its events. If another unit takes over a silent stream, it returns the attempt there.
func (rel *relay) attempt(ctx context.Context, att *attempt) (rep reply, second *attempt, err error) {
	pla := att.placement
	out := dispatcher.Outcome{Result: dispatcher.Neutral}
	defer func() { pla.Release(out) }()
	defer att.cancel(nil)
	if !slices.Contains(rel.tried, pla.Unit.ID) {
		rel.tried = append(rel.tried, pla.Unit.ID)
	}
	hed := rel.newHedge(ctx, att)
	if att.exc != nil {
		hed.mayRun, hed.sends = rel.mayHaveRun, rel.sends
	}
	wat := rel.watch(att, hed)
	defer func() {
		wat.stop()
		second = hed.close(rel.failed(rep, err))
	}()
	taken := att.exc != nil
	if !taken {
		att.sentAt, att.after = rel.gat.opt.Clock.Now(), rel.lastEventID
	}
	rel.placement, rel.sentAt, rel.partsSound, rel.brokeAt = pla, att.sentAt, false, ""
	if !taken {
		req := rel.buildRequest(pla, att.after, rel.sends, rel.mayHaveRun)
		req.Connected = att.unproven.Store
		att.exc, err = rel.sendOnce(att.ctx, pla, req)
		att.unproven.Store(false)
		if err != nil {
			out.Result = rel.unitResult(att.ctx, pla.Unit, err)
			rel.noteBreak(out.Result, err)
			rel.noteSpoilt(pla.Unit, false, err)
			return reply{}, nil, preferCause(att.ctx, err)
		}
	}
	exc := att.exc
	rep = reply{res: exc.Response, ver: rel.parseResponse(pla, exc.Response, att.sentAt)}
	if rep.ver.NotRun || rep.res.StatusCode != http.StatusOK || !rep.ver.Verified || rel.started && !isEventStream(rep.res) {
		out.Result, err = rel.finishNonStream(exc, &rep)
		rel.noteSpoilt(pla.Unit, exc.Kept && !rep.ver.Verified, err)
		return rep, nil, err
	}
	num, err := rel.relayEvents(att, wat)
	out.Duration = rel.gat.opt.Clock.Since(rel.sentAt)
	if num > 1 {
		out.EventInterval = wat.eventSpan() / time.Duration(num-1)
	}
	exc.End(err == nil)
	if err != nil {
		if !taken {
			rel.mayHaveRun += rel.runsOf(pla.Unit)
		}
		out.Result = rel.unitResult(att.ctx, pla.Unit, err)
		if errors.Is(err, errCallerWrite) || errors.Is(err, errCallerSlow) {
			out.Result = dispatcher.Neutral
		}
		rel.noteBreak(out.Result, err)
		return rep, nil, preferCause(att.ctx, err)
	}
	if num > 0 {
		rel.noteEnd(att, wat)
	}
	out.Result = dispatcher.Served
	rel.finish(rep.res)
	return rep, nil, nil
}

// sendOnce sends the request to one unit and counts the attempt, and whether the request may have run.
func (rel *relay) sendOnce(ctx context.Context, pla *dispatcher.Placement, req sender.Request) (*sender.Exchange, error) {
	exc, err := rel.send(ctx, pla, req)
	if errors.Is(err, sender.ErrNotSent) {
		rel.noteNotSent(pla.Unit, err)
		return nil, err
	}
	rel.sends++
	if err != nil {
		rel.mayHaveRun += rel.runsOf(pla.Unit)
	}
	return exc, err
}

// failed reports whether an attempt has failed while the caller still waits.
func (rel *relay) failed(rep reply, err error) bool {
	if errors.Is(err, errAnswered) || errors.Is(err, errCallerWrite) || rel.req.Context().Err() != nil {
		return false
	}
	return err != nil || rep.ver.NotRun
}

// finishNonStream handles a response that is no event stream for the request: a rejection by the unit, a failure, or a response that does not belong to the request.
func (rel *relay) finishNonStream(exc *sender.Exchange, rep *reply) (dispatcher.Result, error) {
	err := rel.receive(rel.placement, exc, rep)
	exc.End(err == nil && (rep.ver.Verified || rep.ver.NotRun))
	switch {
	case !rep.ver.NotRun:
		rel.mayHaveRun += rel.runsOf(rel.placement.Unit)
	case rel.placement.Unit.Entry != "" && !rep.ver.Sent:
		rel.sends--
	}
	res, err := classify(*rep, err)
	if err != nil || rep.ver.NotRun && rel.retryable(*rep) {
		return res, err
	}
	if rep.res.StatusCode >= http.StatusInternalServerError && rel.rou.Repeatable() && !rel.started && !rep.ver.Final {
		if rel.mayHaveRun < rel.rou.Attempts {
			return res, errors.WithType(errors.Errorf("gateway: response with status %d", rep.res.StatusCode), sender.ErrLost)
		}
	}
	if rel.started {
		return res, errors.WithType(errors.Errorf("gateway: response with status %d to a resumed stream", rep.res.StatusCode), sender.ErrLost)
	}
	rel.forward(rep.res, rep.body, outcomeOf(*rep))
	return res, errAnswered
}

// unitResult returns the result of a broken stream: a fault of the unit, or neutral if the caller left, the deadline passed or this entry reaches no unit.
func (rel *relay) unitResult(ctx context.Context, uni dispatcher.Unit, err error) dispatcher.Result {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errUnitSilent) || errors.Is(cause, errUnitBroken) {
		return rel.faultOf(uni, err)
	}
	return dispatcher.Neutral
}

// preferCause returns the cause for which the context was cancelled, if any, in place of the error that the cancellation led to.
func preferCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, sender.ErrNotSent) {
		return errors.Annotate(cause, err.Error())
	}
	return err
}

// relayEvents relays complete events until the stream ends, and returns how many events the unit sent.
func (rel *relay) relayEvents(att *attempt, wat *watchdog) (int, error) {
	rea := rel.newReadAhead(att, wat)
	err := rel.relayFrom(rea, att.exc.Response)
	num := rea.stop()
	rel.unfinished = rea.unfinished
	return num, err
}

// isEventStream reports whether a response states no other type than that of an event stream.
func isEventStream(res *http.Response) bool {
	media, _, _ := strings.Cut(res.Header.Get("Content-Type"), ";")
	media = strings.TrimSpace(media)
	return media == "" || strings.EqualFold(media, "text/event-stream")
}

// relayFrom relays the events that are read until the stream ends.
func (rel *relay) relayFrom(rea *readAhead, res *http.Response) error {
	for {
		eve, err := rea.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithType(errors.Annotate(err, "gateway: stream ended early"), sender.ErrLost)
		}
		rea.beginWrite()
		err = rel.relayEvent(res, eve)
		rea.endWrite()
		if err != nil {
			return err
		}
	}
}

func (rel *relay) relayEvent(res *http.Response, eve event) error {
	if !rel.started {
		rel.started = true
		rel.outlastEnd()
		rel.recordFirstEvent()
		rel.copyHeader(res)
		resetOnClose(rel.req, true)
		rel.wtr.WriteHeader(res.StatusCode)
	}
	if _, err := rel.wtr.Write(eve.data); err != nil {
		return errors.WithType(err, errCallerWrite)
	}
	if err := rel.ctl.Flush(); err != nil {
		return errors.WithType(err, errCallerWrite)
	}
	if eve.id != "" {
		rel.lastEventID = eve.id
	}
	return nil
}

// recordFirstEvent records the parts of the time to the first event, and logs them if the event misses the objective.
func (rel *relay) recordFirstEvent() {
	if rel.placement.Unit.Entry != "" {
		return
	}
	now := rel.gat.opt.Clock.Now()
	rel.gat.opt.Meter.RecordFirstEvent(rel.pool(), rel.queued, now.Sub(rel.sentAt))
	if now.Sub(rel.arrived) <= rel.rou.Objective {
		return
	}
	rel.log.WithFields(logrus.Fields{
		"route": rel.rou.Name, "pool": rel.pool(), "unit": rel.placement.Unit.ID, "sends": rel.sends, "objective_ms": rel.rou.Objective.Milliseconds(),
		"after_ms": now.Sub(rel.arrived).Milliseconds(), "queued_ms": rel.queued.Milliseconds(), "unit_ms": now.Sub(rel.sentAt).Milliseconds(),
		"unit_in_use": rel.placement.InUse, "unit_slots": rel.placement.Unit.Slots, "predicted_ms": rel.placement.Predicted().Milliseconds(),
	}).Info("first event late")
}

// finish completes a stream, including one without events.
func (rel *relay) finish(res *http.Response) {
	if !rel.started {
		rel.copyHeader(res)
		rel.wtr.WriteHeader(res.StatusCode)
	}
	resetOnClose(rel.req, false)
	if rel.sends > 1 {
		rel.log.WithFields(logrus.Fields{"sends": rel.sends, "after_ms": rel.gat.opt.Clock.Since(rel.arrived).Milliseconds()}).Info("stream completed")
	}
	rel.recordOutcome(OutcomeServed)
}
