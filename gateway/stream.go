package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/sender"
)

// errUnitSilent is the cause of cancelling an attempt whose unit has sent no event for too long.
const errUnitSilent = errors.ConstError("unit is silent")

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
	ctl         *http.ResponseController
	// placement is where the last attempt was sent, sentAt when, and sound says that the request proved sound there.
	placement *dispatcher.Placement
	sentAt    time.Time
	sound     bool
}

// serveStream handles a call with an event stream as response, and resumes the stream on another unit where the route allows it.
func (job *job) serveStream(ctx context.Context) {
	rel := &relay{job: job, lastEventID: job.cal.LastEventID, ctl: http.NewResponseController(job.wtr)}
	for {
		pla, err := job.acquire(ctx)
		if err != nil {
			rel.fail(err)
			return
		}
		rep, err := rel.attempt(ctx, pla)
		if err == nil && !rep.ver.NotRun || errors.Is(err, errAnswered) {
			return
		}
		if why := job.retryDenied(err, rep); why != "" {
			if err == nil {
				err = errors.Errorf("response with status %d", rep.res.StatusCode)
			}
			rel.fail(errors.Annotate(err, why))
			return
		}
		job.log.WithFields(logrus.Fields{"unit": pla.Unit.ID, "cause": causeOf(err, rep), "after": rel.lastEventID, "sends": job.sends}).Info("stream resumed elsewhere")
	}
}

// fail ends a stream that cannot be resumed; if events were already sent, it aborts the connection, so that the response does not look complete.
func (rel *relay) fail(err error) {
	if !rel.started {
		var ref refuser.Refusal
		if errors.As(err, &ref) {
			rel.refuse(ref)
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

// attempt sends the call to one unit and relays its events.
func (rel *relay) attempt(ctx context.Context, pla *dispatcher.Placement) (reply, error) {
	out := dispatcher.Outcome{Result: dispatcher.Neutral}
	defer func() { pla.Release(out) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wat := rel.watch(pla, cancel)
	defer wat.stop()
	rel.placement, rel.sentAt, rel.sound, rel.brokeAt = pla, rel.gat.opt.Clock.Now(), false, ""
	rel.tried = append(rel.tried, pla.Unit.ID)
	exc, err := rel.send(ctx, pla, rel.buildRequest(pla, rel.lastEventID))
	if err != nil {
		out.Result = rel.unitResult(ctx)
		rel.noteBreak(out.Result, err)
		return reply{}, preferCause(ctx, err)
	}
	rep := reply{res: exc.Response, ver: rel.gat.opt.HeaderCodec.ParseResponse(rel.cal, exc.Response)}
	if rep.ver.NotRun || rep.res.StatusCode != http.StatusOK || !rep.ver.Verified {
		out.Result, err = rel.finishNonStream(exc, &rep)
		return rep, err
	}
	num, err := rel.relayEvents(exc, wat)
	out.Duration = rel.gat.opt.Clock.Since(rel.sentAt)
	if num > 1 {
		out.EventInterval = wat.eventSpan() / time.Duration(num-1)
	}
	exc.End(err == nil)
	if err != nil {
		rel.mayHaveRun++
		out.Result = rel.unitResult(ctx)
		if errors.Is(err, errCallerWrite) {
			out.Result = dispatcher.Neutral
		}
		rel.noteBreak(out.Result, err)
		return rep, preferCause(ctx, err)
	}
	if num > 0 && !rel.sound {
		rel.gat.opt.Quarantine.RecordSound(rel.subjects, wat.began())
	}
	out.Result = dispatcher.Served
	rel.finish(rep.res)
	return rep, nil
}

// finishNonStream handles a response that is no event stream for the request: a rejection by the unit, a failure, or a response that does not belong to the request.
func (rel *relay) finishNonStream(exc *sender.Exchange, rep *reply) (dispatcher.Result, error) {
	body, err := readAll(io.LimitReader(rep.res.Body, maxEventBytes), rep.res.ContentLength)
	exc.End(err == nil && (rep.ver.Verified || rep.ver.NotRun))
	rep.body = body
	res, err := rel.classify(*rep, err)
	if err != nil || rep.ver.NotRun && rel.retryable(*rep) {
		return res, err
	}
	if rep.res.StatusCode >= http.StatusInternalServerError && rel.rou.Repeatable() && !rel.started {
		if rel.mayHaveRun < rel.rou.Attempts {
			return res, errors.WithType(errors.Errorf("gateway: response with status %d", rep.res.StatusCode), sender.ErrLost)
		}
	}
	if rel.started {
		return res, errors.WithType(errors.Errorf("gateway: response with status %d to a resumed stream", rep.res.StatusCode), sender.ErrLost)
	}
	rel.forward(rep.res, rep.body, outcomeOf(rep.res.StatusCode))
	return res, errAnswered
}

// unitResult returns the result of a broken stream: a fault of the unit, or neutral if the caller left or the deadline passed.
func (rel *relay) unitResult(ctx context.Context) dispatcher.Result {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errUnitSilent) || errors.Is(cause, errUnitBroken) {
		return dispatcher.Fault
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
func (rel *relay) relayEvents(exc *sender.Exchange, wat *watchdog) (int, error) {
	rea := exc.BodyReader()
	num := 0
	for {
		eve, err := readEvent(rea)
		if errors.Is(err, io.EOF) {
			return num, nil
		}
		if err != nil {
			return num, errors.WithType(errors.Annotate(err, "gateway: stream ended early"), sender.ErrLost)
		}
		if eve.hasData {
			num++
			wat.noteEvent()
			rel.noteSound(wat)
		}
		if eve.id != "" && !follows(eve.id, rel.lastEventID) {
			continue
		}
		if err := rel.relayEvent(exc.Response, eve); err != nil {
			return num, err
		}
	}
}

func (rel *relay) relayEvent(res *http.Response, eve event) error {
	if !rel.started {
		rel.started = true
		rel.recordFirstEvent()
		rel.copyHeader(res)
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
	now := rel.gat.opt.Clock.Now()
	rel.gat.opt.Meter.RecordFirstEvent(rel.pool(), rel.queued, now.Sub(rel.sentAt))
	if now.Sub(rel.arrived) <= rel.rou.Objective {
		return
	}
	rel.log.WithFields(logrus.Fields{
		"route": rel.rou.Name, "pool": rel.pool(), "unit": rel.placement.Unit.ID, "sends": rel.sends, "objective_ms": rel.rou.Objective.Milliseconds(),
		"after_ms": now.Sub(rel.arrived).Milliseconds(), "queued_ms": rel.queued.Milliseconds(), "unit_ms": now.Sub(rel.sentAt).Milliseconds(),
		"unit_in_use": rel.placement.InUse, "unit_slots": rel.placement.Unit.Slots,
	}).Info("first event late")
}

// finish completes a stream, including one without events.
func (rel *relay) finish(res *http.Response) {
	if !rel.started {
		rel.copyHeader(res)
		rel.wtr.WriteHeader(res.StatusCode)
	}
	if rel.sends > 1 {
		rel.log.WithFields(logrus.Fields{"sends": rel.sends, "after_ms": rel.gat.opt.Clock.Since(rel.arrived).Milliseconds()}).Info("stream completed")
	}
	rel.recordOutcome(OutcomeServed)
}
