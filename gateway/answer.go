package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/refuser"
)

// Outcomes that a meter counts.
const (
	OutcomeServed  = "served"
	OutcomeFailed  = "failed"
	OutcomeRefused = "refused"
	OutcomeInvalid = "invalid"
	OutcomeLeft    = "caller_left"
	OutcomeBroken  = "broken_off"
)

// refuse answers a request without the answer of a backend server.
func (job *job) refuse(err error) {
	ref := refuser.From(err)
	// A body that did not come in time ends the request's context too, and its caller is there.
	if job.req.Context().Err() != nil && ref.Status != http.StatusRequestTimeout {
		job.log.WithFields(logrus.Fields{
			"why": ref.Message, "route": job.rou.Name, "workspace": job.wsp.Name, "pool": job.pool(), "sends": job.sends,
			"may_have_run": job.ran, "after_ms": job.gat.opt.Clock.Since(job.arrived).Milliseconds(),
		}).Info("caller left without an answer")
		job.ended(OutcomeLeft)
		// To return would send an empty success.
		panic(http.ErrAbortHandler)
	}
	if ref.Type == refuser.TypeNotRun && job.ran > 0 {
		ref = refuser.OutcomeUnknown(ref.Message)
	}
	outcome := OutcomeRefused
	switch ref.Type {
	case refuser.TypeNotRun:
	case refuser.TypeOutcomeUnknown:
		outcome = OutcomeFailed
	default:
		outcome = OutcomeInvalid
	}
	job.log.WithFields(logrus.Fields{
		"status": ref.Status, "why": ref.Message, "route": job.rou.Name, "workspace": job.wsp.Name, "pool": job.pool(),
		"sends": job.sends, "may_have_run": job.ran, "after_ms": job.gat.opt.Clock.Since(job.arrived).Milliseconds(),
		"deadline_in_ms": job.gat.opt.Clock.Until(job.deadline).Milliseconds(), "config_version": job.version(),
	}).Info("request refused")
	head := job.wtr.Header()
	head.Set("Content-Type", "application/json")
	if ref.Type == refuser.TypeNotRun && ref.RetryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	job.wtr.WriteHeader(ref.Status)
	body, err := json.Marshal(map[string]string{"type": string(ref.Type), "message": ref.Message})
	if err == nil {
		_, err = job.wtr.Write(body)
	}
	if err != nil {
		job.log.WithError(err).Debug("refusal could not be written")
	}
	job.ended(outcome)
}

func (job *job) version() int64 {
	if job.tab == nil {
		return 0
	}
	return job.tab.Version
}

func (job *job) ended(outcome string) {
	job.gat.opt.Meter.Ended(job.rou.Kind, outcome, job.gat.opt.Clock.Since(job.arrived))
}

// copyHead passes the head of a backend server's answer on.
func (job *job) copyHead(res *http.Response) {
	head := job.wtr.Header()
	closing := head.Get("Connection")
	for name, vals := range res.Header {
		head[name] = vals
	}
	StripConnection(head)
	if closing != "" {
		head.Set("Connection", closing)
	}
}

// pass passes a whole answer on.
func (job *job) pass(res *http.Response, body []byte, outcome string) {
	job.copyHead(res)
	job.wtr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	job.wtr.WriteHeader(res.StatusCode)
	if _, err := job.wtr.Write(body); err != nil {
		job.log.WithError(err).Debug("answer could not be written")
		outcome = OutcomeLeft
	}
	if job.sends > 1 || outcome != OutcomeServed {
		job.log.WithFields(logrus.Fields{
			"status": res.StatusCode, "outcome": outcome, "sends": job.sends, "route": job.rou.Name,
			"after_ms": job.gat.opt.Clock.Since(job.arrived).Milliseconds(),
		}).Info("request answered")
	}
	job.ended(outcome)
}

// failure is the refusal of a request whose sends came to nothing.
func (job *job) failure(cause error) refuser.Refusal {
	switch {
	case job.ran == 0:
		return refuser.NotRun("not run: "+cause.Error(), retryAfterFailure)
	case job.gat.opt.Clock.Until(job.deadline) <= 0:
		return refuser.TooLate("no answer before the deadline: " + cause.Error())
	}
	return refuser.OutcomeUnknown(cause.Error())
}

// retryAfterFailure is the advice when no unit took a request: the breaker and the detector need about this long to take a broken unit out.
const retryAfterFailure = 300 * time.Millisecond
