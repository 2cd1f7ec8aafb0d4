package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
)

// reply is the response of one backend server with its body.
type reply struct {
	res  *http.Response
	body []byte
	ver  ResponseInfo
}

// servePlain handles a plain call: it buffers the response and retries as far as the route allows.
func (job *job) servePlain(ctx context.Context) {
	var last reply
	for {
		pla, err := job.acquire(ctx)
		if err != nil {
			job.finishPlain(last, err)
			return
		}
		rep, err := job.attempt(ctx, pla)
		if err == nil && !job.retryable(rep) {
			job.forward(rep.res, rep.body, outcomeOf(rep.res.StatusCode))
			return
		}
		if err == nil && !rep.ver.NotRun {
			last = rep
		}
		if why := job.retryDenied(err, rep); why != "" {
			if err == nil {
				err = errors.Errorf("response with status %d", rep.res.StatusCode)
			}
			job.finishPlain(last, errors.Annotate(err, why))
			return
		}
		job.log.WithFields(logrus.Fields{"unit": pla.Unit.ID, "cause": causeOf(err, rep), "sends": job.sends}).Info("request sent once more")
	}
}

func outcomeOf(status int) string {
	if status < http.StatusInternalServerError {
		return OutcomeServed
	}
	return OutcomeFailed
}

// finishPlain responds when no retry is allowed: with the last failed response of a unit if there is one, otherwise with a refusal.
func (job *job) finishPlain(last reply, err error) {
	if last.res != nil {
		job.forward(last.res, last.body, outcomeOf(last.res.StatusCode))
		return
	}
	var ref refuser.Refusal
	if errors.As(err, &ref) {
		job.refuse(ref)
		return
	}
	job.refuse(job.refusalFor(err))
}

// attempt sends the call to one unit and reads the complete response.
func (job *job) attempt(ctx context.Context, pla *dispatcher.Placement) (reply, error) {
	out := dispatcher.Outcome{Result: dispatcher.Neutral}
	defer func() { pla.Release(out) }()
	if job.rou.Repeatable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(float64(job.rou.Objective)*attemptObjectives))
		defer cancel()
	}
	began := job.gat.opt.Clock.Now()
	job.tried = append(job.tried, pla.Unit.ID)
	exc, err := job.send(ctx, pla, job.buildRequest(pla, job.cal.LastEventID))
	if err != nil {
		if job.req.Context().Err() == nil {
			out.Result = dispatcher.Fault
		}
		job.notePlain(ctx, pla, began, err)
		return reply{}, err
	}
	rep := reply{res: exc.Response, ver: job.gat.opt.HeaderCodec.ParseResponse(job.cal, exc.Response)}
	rep.body, err = readAll(exc.Response.Body, exc.Response.ContentLength)
	exc.End(err == nil && rep.ver.Verified)
	out.Result, err = job.classify(rep, err)
	out.Duration = job.gat.opt.Clock.Since(began)
	if !rep.ver.NotRun {
		job.notePlain(ctx, pla, began, err)
	}
	return rep, err
}

// notePlain records whether a plain call proved sound or broke off.
func (job *job) notePlain(ctx context.Context, pla *dispatcher.Placement, began time.Time, err error) {
	job.brokeAt = ""
	switch {
	case err == nil:
		job.gat.opt.Quarantine.RecordSound(job.subjects, began)
	case errors.Is(err, sender.ErrLost) && ctx.Err() == nil:
		job.recordBreak(pla.Unit)
	}
}

// send sends the request to one unit and counts the attempt, and whether the request may have run.
func (job *job) send(ctx context.Context, pla *dispatcher.Placement, req sender.Request) (*sender.Exchange, error) {
	exc, err := job.gat.opt.Sender.Send(ctx, req)
	if errors.Is(err, sender.ErrNotSent) {
		job.gat.opt.Detector.CheckUnit(pla.Unit.ID)
		return nil, err
	}
	job.sends++
	if err != nil {
		job.mayHaveRun++
	}
	return exc, err
}

// classify returns the result of an attempt for its unit; it fails with sender.ErrLost if the response is incomplete or does not belong to the request.
func (job *job) classify(rep reply, err error) (dispatcher.Result, error) {
	if rep.ver.NotRun {
		if rep.ver.Misdirected {
			return dispatcher.Fault, nil
		}
		return dispatcher.Rejected, nil
	}
	job.mayHaveRun++
	if err != nil {
		return dispatcher.Fault, errors.WithType(errors.Annotate(err, "gateway: response ended early"), sender.ErrLost)
	}
	if !rep.ver.Verified {
		return dispatcher.Fault, errors.Annotate(sender.ErrLost, "gateway: answer without a signature or of another request")
	}
	if rep.res.StatusCode >= http.StatusInternalServerError {
		return dispatcher.Fault, nil
	}
	return dispatcher.Served, nil
}

// retryable reports whether a response calls for a retry in place of being forwarded.
func (job *job) retryable(rep reply) bool {
	if rep.ver.NotRun {
		return rep.res.StatusCode != http.StatusBadRequest
	}
	return job.rou.Kind == router.Safe && rep.res.StatusCode >= http.StatusInternalServerError
}

// retryDenied returns why the request may not be retried, or an empty string if it may; a retry is charged to the budget if the request was sent before.
func (job *job) retryDenied(err error, rep reply) string {
	notRun := errors.Is(err, sender.ErrNotSent) || err == nil && rep.ver.NotRun
	switch {
	case job.req.Context().Err() != nil:
		return "the caller left"
	case job.gat.opt.Clock.Until(job.deadline) <= 0:
		return "deadline"
	case !notRun && !job.rou.Repeatable():
		return "it may have run and must not run twice"
	case !notRun && job.mayHaveCrashed():
		return "it may have crashed its backend server"
	case job.mayHaveRun >= job.rou.Attempts || job.sends >= maxSends:
		return "all attempts are used"
	case job.sends == 0:
		if len(job.tried) > maxSends {
			return "no unit could be reached"
		}
		return ""
	case !job.gat.opt.Budget.Allow(job.ser.Name):
		return "the budget for repeats is used up"
	}
	return ""
}

func causeOf(err error, rep reply) string {
	if err != nil {
		return err.Error()
	}
	return http.StatusText(rep.res.StatusCode)
}
