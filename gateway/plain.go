package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
)

// reply is the response of one backend server with its body.
type reply struct {
	res  *http.Response
	body *collector.Body
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
			job.forward(rep.res, rep.body, outcomeOf(rep))
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

func outcomeOf(rep reply) string {
	switch {
	case rep.ver.Refused && rep.res.StatusCode == http.StatusServiceUnavailable:
		return OutcomeRefused
	case rep.res.StatusCode < http.StatusInternalServerError:
		return OutcomeServed
	}
	return OutcomeFailed
}

// finishPlain responds when no retry is allowed: with the last failed response of a unit if there is one, otherwise with a refusal.
func (job *job) finishPlain(last reply, err error) {
	if last.res != nil {
		job.forward(last.res, last.body, outcomeOf(last))
		return
	}
	var ref refuser.Refusal
	if errors.As(err, &ref) {
		job.refuse(err)
		return
	}
	job.refuse(job.refusalFor(err))
}

// attempt sends the call to one unit. If that takes too long and another unit has a free slot, it sends the call there, too, and the first response that needs no retry counts.
func (job *job) attempt(ctx context.Context, pla *dispatcher.Placement) (reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan result, 2)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	// unproven says that the first unit got the request on a kept connection.
	var unproven atomic.Bool
	start := func(pla *dispatcher.Placement, again bool) {
		job.tried = append(job.tried, pla.Unit.ID)
		req := job.buildRequest(pla, job.cal.LastEventID, job.sends, job.mayHaveRun)
		req.NewConnection, req.Connected = req.NewConnection || again, unproven.Store
		running.Go(func() { done <- job.exchange(ctx, pla, req) })
	}
	start(pla, false)
	patience := time.Duration(float64(job.rou.Objective) * attemptObjectives)
	timer := job.gat.opt.Clock.NewTimer(patience)
	defer timer.Stop()
	for pending := 1; ; {
		select {
		case <-timer.Chan():
			job.gat.opt.Links.ConfirmLost(job.ser.Name)
			second := job.placeSecond(ctx, pla, unproven.Load())
			if second == nil {
				timer.Reset(patience)
				continue
			}
			job.log.WithFields(logrus.Fields{"unit": pla.Unit.ID, "second_unit": second.Unit.ID}).Info("no response yet, sending the request to a second unit")
			start(second, true)
			pending++
		case res := <-done:
			pending--
			job.count(res)
			if pending == 0 || res.err == nil && !job.retryable(res.rep) {
				return res.rep, res.err
			}
		}
	}
}

// placeSecond allocates a slot for a second send of a call that has no response yet, or returns nil if that is not allowed or none is free. Another entry that has the call sends it a second time itself.
func (job *job) placeSecond(ctx context.Context, pla *dispatcher.Placement, unproven bool) *dispatcher.Placement {
	if pla.Unit.Entry != "" && job.gat.opt.Peers.Usable(job.ser.Name, pla.Unit.Entry) {
		return nil
	}
	if !job.rou.Repeatable() || job.mayHaveRun+1 >= job.rou.Attempts || job.sends+1 >= maxSends || job.isQuarantined() || !job.gat.opt.Budget.Allow(job.ser.Name) {
		return nil
	}
	pla, err := job.placeElsewhere(ctx, placeOptions{exclude: job.tried, atOnce: true}, pla.Unit, unproven)
	if err != nil {
		job.gat.opt.Budget.Return(job.ser.Name)
		return nil
	}
	return pla
}

// result is the end of one exchange with a unit. Cancelled means that the exchange was given up.
type result struct {
	rep       reply
	err       error
	unit      dispatcher.Unit
	began     time.Time
	sent      bool
	mayRun    bool
	cancelled bool
	// spoilt says that a response that is not to this request came on a connection kept from an earlier one.
	spoilt bool
}

// count adds the end of an exchange to the counts of the request, and records whether the call proved sound or broke off. A server that fails may not have begun to work on it.
func (job *job) count(res result) {
	if res.sent && (res.mayRun || res.unit.Entry == "" || res.rep.ver.Sent) {
		job.sends++
	}
	if !res.mayRun {
		return
	}
	if !res.cancelled {
		job.noteSpoilt(res.unit, res.spoilt, res.err)
	}
	job.mayHaveRun += job.runsOf(res.unit)
	job.brokeAt = ""
	switch {
	case res.unit.Entry != "" || job.linksLost():
	case res.err == nil && res.rep.res.StatusCode < http.StatusInternalServerError:
		job.gat.opt.Quarantine.RecordSound(job.subjects, res.began)
	case errors.Is(res.err, sender.ErrLost) && !res.cancelled:
		job.recordBreak(res.unit, job.subjects)
	}
}

// exchange sends the call to one unit and reads the complete response.
func (job *job) exchange(ctx context.Context, pla *dispatcher.Placement, req sender.Request) result {
	out := dispatcher.Outcome{Result: dispatcher.Neutral}
	defer func() { pla.Release(out) }()
	began := job.gat.opt.Clock.Now()
	exc, err := job.send(ctx, pla, req)
	if err != nil {
		notSent := errors.Is(err, sender.ErrNotSent)
		if ctx.Err() == nil {
			out.Result = job.faultOf(pla.Unit, err)
			if notSent {
				job.noteNotSent(pla.Unit, err)
			}
		}
		return result{err: err, unit: pla.Unit, began: began, sent: !notSent, mayRun: !notSent, cancelled: ctx.Err() != nil}
	}
	rep := reply{res: exc.Response, ver: job.parseResponse(pla, exc.Response, began)}
	err = job.receive(pla, exc, &rep)
	exc.End(err == nil && rep.ver.Verified)
	res, err := classify(rep, err)
	if res == dispatcher.Fault && errors.Is(err, sender.ErrLost) && ctx.Err() == nil {
		res = job.faultOf(pla.Unit, err)
	}
	if ctx.Err() == nil || err == nil {
		out.Result = res
	}
	out.Duration = job.gat.opt.Clock.Since(began)
	if out.Result == dispatcher.Served && pla.Unit.Entry == "" {
		job.gat.durations.record(job.ser.Name, out.Duration)
	}
	return result{rep: rep, err: err, unit: pla.Unit, began: began, sent: true, mayRun: !rep.ver.NotRun, cancelled: ctx.Err() != nil, spoilt: exc.Kept && !rep.ver.Verified}
}

// receive reads the body of a response, unless the response only calls for a retry.
func (job *job) receive(pla *dispatcher.Placement, exc *sender.Exchange, rep *reply) error {
	if rep.ver.NotRun && job.retryable(*rep) {
		exc.Discard()
		return nil
	}
	length := rep.res.ContentLength
	if job.req.Method == http.MethodHead {
		length = -1
	}
	body, err := job.gat.responses.ReadBody(rep.res.Body, length)
	if errors.Is(err, collector.ErrTooLarge) {
		job.log.WithError(err).WithFields(logrus.Fields{"unit": pla.Unit.ID, "status": rep.res.StatusCode}).Warn("response too large")
	}
	job.keep(body)
	rep.body = body
	return err
}

// classify returns the result of an attempt for its unit, where a server that wants a pause has no fault; it fails with sender.ErrLost if the response is incomplete or does not belong to the request.
func classify(rep reply, err error) (dispatcher.Result, error) {
	res, err := classifyRun(rep, err)
	if res == dispatcher.Fault && rep.ver.PauseFor > 0 {
		res = dispatcher.Rejected
	}
	return res, err
}

func classifyRun(rep reply, err error) (dispatcher.Result, error) {
	if rep.ver.Final && err == nil {
		return dispatcher.Neutral, nil
	}
	if rep.ver.NotRun {
		if err != nil {
			return dispatcher.Rejected, errors.WithType(errors.Annotate(err, "gateway: rejection ended early"), sender.ErrLost)
		}
		if rep.ver.Misdirected {
			return dispatcher.Fault, nil
		}
		return dispatcher.Rejected, nil
	}
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
	if rep.ver.Final {
		return false
	}
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
	case job.gat.ending.Err() != nil:
		return "this entry ends"
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
