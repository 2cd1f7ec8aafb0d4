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

// reply is the answer of one backend server, read whole.
type reply struct {
	res  *http.Response
	body []byte
	ver  Verdict
}

// plain runs a call whose answer is passed on once it is whole.
func (job *job) plain(ctx context.Context) {
	var last reply
	for {
		pla, err := job.place(ctx)
		if err != nil {
			job.endPlain(last, err)
			return
		}
		rep, err := job.try(ctx, pla)
		if err == nil && !job.repeats(rep) {
			job.pass(rep.res, rep.body, outcomeOf(rep.res.StatusCode))
			return
		}
		if err == nil && !rep.ver.NotRun {
			last = rep
		}
		if why := job.mayRepeat(err, rep); why != "" {
			if err == nil {
				err = errors.Errorf("answer %d", rep.res.StatusCode)
			}
			job.endPlain(last, errors.Annotate(err, why))
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

// endPlain answers when no further send is allowed: with the best answer there was, else with a refusal.
func (job *job) endPlain(last reply, err error) {
	if last.res != nil {
		job.pass(last.res, last.body, outcomeOf(last.res.StatusCode))
		return
	}
	var ref refuser.Refusal
	if errors.As(err, &ref) {
		job.refuse(ref)
		return
	}
	job.refuse(job.failure(err))
}

// try sends the call to one unit and reads its whole answer.
func (job *job) try(ctx context.Context, pla *dispatcher.Placement) (reply, error) {
	out := dispatcher.Outcome{Result: dispatcher.Neutral}
	defer func() { pla.Release(out) }()
	if job.rou.Repeatable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(float64(job.rou.Objective)*repeatAfter))
		defer cancel()
	}
	began := job.gat.opt.Clock.Now()
	job.had = append(job.had, pla.Unit.ID)
	exc, err := job.send(ctx, pla, job.hop(pla, job.cal.After))
	if err != nil {
		if job.req.Context().Err() == nil {
			out.Result = dispatcher.Fault
		}
		return reply{}, err
	}
	rep := reply{res: exc.Response, ver: job.gat.opt.Dialect.Verdict(job.cal, exc.Response)}
	rep.body, err = readAll(exc.Response.Body, exc.Response.ContentLength)
	exc.End(err == nil && rep.ver.Own)
	out.Result, err = job.judge(rep, err)
	out.Duration = job.gat.opt.Clock.Since(began)
	return rep, err
}

// send counts the send and what it says of the request's fate.
func (job *job) send(ctx context.Context, pla *dispatcher.Placement, req sender.Request) (*sender.Exchange, error) {
	exc, err := job.gat.opt.Sender.Send(ctx, req)
	if errors.Is(err, sender.ErrNotSent) {
		job.gat.opt.Detector.Suspect(pla.Unit.ID)
		return nil, err
	}
	job.sends++
	if err != nil {
		job.ran++
	}
	return exc, err
}

// judge tells what an answer that was read says of the unit, and fails with sender.ErrLost when it is no answer to the request.
func (job *job) judge(rep reply, err error) (dispatcher.Result, error) {
	if rep.ver.NotRun {
		if rep.ver.Misdirected {
			return dispatcher.Fault, nil
		}
		return dispatcher.Rejected, nil
	}
	job.ran++
	if err != nil {
		return dispatcher.Fault, errors.WithType(errors.Annotate(err, "gateway: answer broke off"), sender.ErrLost)
	}
	if !rep.ver.Own {
		return dispatcher.Fault, errors.Annotate(sender.ErrLost, "gateway: answer without a signature or of another request")
	}
	if rep.res.StatusCode >= http.StatusInternalServerError {
		return dispatcher.Fault, nil
	}
	return dispatcher.Served, nil
}

// repeats reports whether an answer is no final one.
func (job *job) repeats(rep reply) bool {
	if rep.ver.NotRun {
		return rep.res.StatusCode != http.StatusBadRequest
	}
	return job.rou.Kind == router.Safe && rep.res.StatusCode >= http.StatusInternalServerError
}

// mayRepeat says why a request may not be sent once more; it is empty when it may, and then the budget is charged.
func (job *job) mayRepeat(err error, rep reply) string {
	notRun := errors.Is(err, sender.ErrNotSent) || err == nil && rep.ver.NotRun
	switch {
	case job.req.Context().Err() != nil:
		return "the caller left"
	case job.gat.opt.Clock.Until(job.deadline) <= 0:
		return "deadline"
	case !notRun && !job.rou.Repeatable():
		return "it may have run and must not run twice"
	case job.ran >= job.rou.Attempts || job.sends >= mostSends:
		return "all attempts are used"
	case job.sends == 0:
		if len(job.had) > mostSends {
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
