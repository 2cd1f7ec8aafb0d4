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

// errSilent says that a unit sent nothing for too long.
const errSilent = errors.ConstError("unit is silent")

// errBroken says that a unit cannot end what runs on it.
const errBroken = errors.ConstError("unit is broken")

// errWrite says that the caller takes no more of the answer.
const errWrite = errors.ConstError("caller takes no more")

// errEnded says that the unit's own answer was passed on as the final one.
const errEnded = errors.ConstError("answered")

// passing is a stream on its way to the caller.
type passing struct {
	*job
	// after is the ID of the last event that the caller has.
	after string
	begun bool
	flu   *http.ResponseController
}

// stream runs a call whose answer is a row of events, and resumes it at another unit where the route allows.
func (job *job) stream(ctx context.Context) {
	pas := &passing{job: job, after: job.cal.After, flu: http.NewResponseController(job.wtr)}
	for {
		pla, err := job.place(ctx)
		if err != nil {
			pas.fail(err)
			return
		}
		rep, err := pas.try(ctx, pla)
		if err == nil && !rep.ver.NotRun || errors.Is(err, errEnded) {
			return
		}
		if why := job.mayRepeat(err, rep); why != "" {
			if err == nil {
				err = errors.Errorf("answer %d", rep.res.StatusCode)
			}
			pas.fail(errors.Annotate(err, why))
			return
		}
		job.log.WithFields(logrus.Fields{"unit": pla.Unit.ID, "cause": causeOf(err, rep), "after": pas.after, "sends": job.sends}).Info("stream resumed elsewhere")
	}
}

// fail ends a stream that cannot go on; one that has begun is broken off, so that it does not look complete.
func (pas *passing) fail(err error) {
	if !pas.begun {
		var ref refuser.Refusal
		if errors.As(err, &ref) {
			pas.refuse(ref)
			return
		}
		pas.refuse(pas.failure(err))
		return
	}
	outcome := OutcomeBroken
	if pas.req.Context().Err() != nil {
		outcome = OutcomeLeft
	}
	pas.log.WithFields(logrus.Fields{
		"why": err.Error(), "route": pas.rou.Name, "workspace": pas.wsp.Name, "after": pas.after, "sends": pas.sends,
		"after_ms": pas.gat.opt.Clock.Since(pas.arrived).Milliseconds(), "outcome": outcome,
	}).Info("stream broken off")
	pas.ended(outcome)
	panic(http.ErrAbortHandler)
}

// try sends the call to one unit and passes its events on.
func (pas *passing) try(ctx context.Context, pla *dispatcher.Placement) (reply, error) {
	out := dispatcher.Outcome{Result: dispatcher.Neutral}
	defer func() { pla.Release(out) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wat := pas.watch(pla, cancel)
	defer wat.stop()
	began := pas.gat.opt.Clock.Now()
	pas.had = append(pas.had, pla.Unit.ID)
	exc, err := pas.send(ctx, pla, pas.hop(pla, pas.after))
	if err != nil {
		out.Result = pas.faultOf(ctx)
		return reply{}, causeFirst(ctx, err)
	}
	rep := reply{res: exc.Response, ver: pas.gat.opt.Dialect.Verdict(pas.cal, exc.Response)}
	if rep.ver.NotRun || rep.res.StatusCode != http.StatusOK || !rep.ver.Own {
		out.Result, err = pas.endOther(exc, &rep)
		return rep, err
	}
	num, err := pas.events(exc, wat)
	out.Duration = pas.gat.opt.Clock.Since(began)
	if num > 1 {
		out.EventInterval = wat.spread() / time.Duration(num-1)
	}
	exc.End(err == nil)
	if err != nil {
		pas.ran++
		out.Result = pas.faultOf(ctx)
		if errors.Is(err, errWrite) {
			out.Result = dispatcher.Neutral
		}
		return rep, causeFirst(ctx, err)
	}
	out.Result = dispatcher.Served
	pas.finish(rep.res)
	return rep, nil
}

// endOther deals with an answer that is no stream of the request: a refusal of the unit, a failure, or nothing that belongs to the request.
func (pas *passing) endOther(exc *sender.Exchange, rep *reply) (dispatcher.Result, error) {
	body, err := readAll(io.LimitReader(rep.res.Body, eventBytes), rep.res.ContentLength)
	exc.End(err == nil && (rep.ver.Own || rep.ver.NotRun))
	rep.body = body
	res, err := pas.judge(*rep, err)
	if err != nil || rep.ver.NotRun && pas.repeats(*rep) {
		return res, err
	}
	if rep.res.StatusCode >= http.StatusInternalServerError && pas.rou.Repeatable() && !pas.begun {
		if pas.ran < pas.rou.Attempts {
			return res, errors.WithType(errors.Errorf("gateway: answer %d", rep.res.StatusCode), sender.ErrLost)
		}
	}
	if pas.begun {
		return res, errors.WithType(errors.Errorf("gateway: answer %d to a resumed stream", rep.res.StatusCode), sender.ErrLost)
	}
	pas.pass(rep.res, rep.body, outcomeOf(rep.res.StatusCode))
	return res, errEnded
}

// faultOf blames the unit for a broken stream unless the caller left or the deadline passed.
func (pas *passing) faultOf(ctx context.Context) dispatcher.Result {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errSilent) || errors.Is(cause, errBroken) {
		return dispatcher.Fault
	}
	return dispatcher.Neutral
}

// causeFirst prefers the reason for which a send was given up to the error that this caused.
func causeFirst(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, sender.ErrNotSent) {
		return errors.Annotate(cause, err.Error())
	}
	return err
}

// events passes whole events on until the answer is complete; it returns how many there were.
func (pas *passing) events(exc *sender.Exchange, wat *watchdog) (int, error) {
	rea := exc.Lines()
	num := 0
	for {
		eve, err := readEvent(rea)
		if errors.Is(err, io.EOF) {
			return num, nil
		}
		if err != nil {
			return num, errors.WithType(errors.Annotate(err, "gateway: stream broke off"), sender.ErrLost)
		}
		num++
		wat.event()
		if eve.id != "" && !follows(eve.id, pas.after) {
			continue
		}
		if err := pas.passEvent(exc.Response, eve); err != nil {
			return num, err
		}
	}
}

func (pas *passing) passEvent(res *http.Response, eve event) error {
	if !pas.begun {
		pas.begun = true
		pas.copyHead(res)
		pas.wtr.WriteHeader(res.StatusCode)
	}
	if _, err := pas.wtr.Write(eve.data); err != nil {
		return errors.WithType(err, errWrite)
	}
	if err := pas.flu.Flush(); err != nil {
		return errors.WithType(err, errWrite)
	}
	if eve.id != "" {
		pas.after = eve.id
	}
	return nil
}

// finish ends a complete stream, also one without events.
func (pas *passing) finish(res *http.Response) {
	if !pas.begun {
		pas.copyHead(res)
		pas.wtr.WriteHeader(res.StatusCode)
	}
	if pas.sends > 1 {
		pas.log.WithFields(logrus.Fields{"sends": pas.sends, "after_ms": pas.gat.opt.Clock.Since(pas.arrived).Milliseconds()}).Info("stream answered whole")
	}
	pas.ended(OutcomeServed)
}
