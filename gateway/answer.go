package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/refuser"
)

// Outcomes of requests, as passed to the Meter.
const (
	OutcomeServed     = "served"
	OutcomeFailed     = "failed"
	OutcomeRefused    = "refused"
	OutcomeInvalid    = "invalid"
	OutcomeCallerLeft = "caller_left"
	OutcomeBrokenOff  = "broken_off"
	// OutcomeQuarantined is a refusal because requests like this one crash backend servers.
	OutcomeQuarantined = "quarantined"
)

// maxLoggedPrefix bounds what is logged of the path of a request without a route.
const maxLoggedPrefix = 64

// firstSegment returns the first segment of a path, for log lines: the rest may identify the caller.
func firstSegment(path string) string {
	head, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	head, _, _ = strings.Cut(head, "?")
	return "/" + head[:min(len(head), maxLoggedPrefix)]
}

// refuse responds with an error of the gateway in place of a response of a backend server.
func (job *job) refuse(err error) {
	ref := refuser.FromError(err)
	// A body that misses its deadline also cancels the request's context, but then the caller is still connected and gets the refusal.
	if job.req.Context().Err() != nil && ref.Status != http.StatusRequestTimeout {
		job.log.WithFields(logrus.Fields{
			"why": ref.Message, "route": job.rou.Name, "workspace": job.wsp.Name, "pool": job.pool(), "sends": job.sends,
			"may_have_run": job.mayHaveRun, "after_ms": job.gat.opt.Clock.Since(job.arrived).Milliseconds(),
		}).Info("caller left without an answer")
		job.recordOutcome(OutcomeCallerLeft)
		// Returning would send an empty response with status 200.
		panic(http.ErrAbortHandler)
	}
	if ref.Type == refuser.TypeNotRun && job.mayHaveRun > 0 && !job.handsBack(err) {
		ref = refuser.OutcomeUnknown(ref.Message)
	}
	outcome := OutcomeRefused
	switch ref.Type {
	case refuser.TypeNotRun:
		job.recordRefusedDemand()
		if job.quarantined != "" {
			outcome = OutcomeQuarantined
		}
	case refuser.TypeOutcomeUnknown:
		outcome = OutcomeFailed
	default:
		outcome = OutcomeInvalid
	}
	log := job.log.WithFields(logrus.Fields{
		"status": ref.Status, "why": ref.Message, "route": job.rou.Name, "workspace": job.wsp.Name, "pool": job.pool(),
		"sends": job.sends, "may_have_run": job.mayHaveRun, "after_ms": job.gat.opt.Clock.Since(job.arrived).Milliseconds(),
		"config_version": job.configVersion(), "quarantined": job.quarantined,
	})
	if !job.deadline.IsZero() {
		log = log.WithField("deadline_in_ms", job.gat.opt.Clock.Until(job.deadline).Milliseconds())
	}
	if job.rou.Name == "" {
		log = log.WithFields(logrus.Fields{"host": job.req.Host, "prefix": firstSegment(job.target)})
	}
	log.Info("request refused")
	job.limitBody(refusedBodyTimeout)
	job.markRefusal(err, ref)
	head := job.wtr.Header()
	head.Set("Content-Type", "application/json")
	if ref.Type == refuser.TypeNotRun && ref.RetryAfter > 0 {
		head.Set("Retry-After", strconv.FormatFloat(ref.RetryAfter.Seconds(), 'f', 3, 64))
	}
	job.wtr.WriteHeader(ref.Status)
	body, fault := json.Marshal(map[string]string{"type": string(ref.Type), "message": ref.Message})
	if fault == nil {
		_, fault = job.wtr.Write(body)
	}
	if fault != nil {
		job.log.WithError(fault).Debug("failed to write the refusal")
	}
	job.recordOutcome(outcome)
}

func (job *job) configVersion() int64 {
	if job.tab == nil {
		return 0
	}
	return job.tab.Version
}

// recordOutcome records how the request ended at the entry that the caller is connected to.
func (job *job) recordOutcome(outcome string) {
	if job.forwarded != nil {
		return
	}
	job.gat.opt.Meter.RecordRequest(job.rou.Kind, outcome, job.gat.opt.Clock.Since(job.arrived))
}

// copyHeader copies the response header of a backend server, without the headers of its connection.
func (job *job) copyHeader(res *http.Response) {
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

// forward writes a complete response to the caller.
func (job *job) forward(res *http.Response, body *collector.Body, outcome string) {
	job.copyHeader(res)
	job.wtr.Header().Set("Content-Length", strconv.FormatInt(body.Size(), 10))
	job.wtr.WriteHeader(res.StatusCode)
	if _, err := body.WriteTo(job.wtr); err != nil {
		job.log.WithError(err).Debug("failed to write the response")
		outcome = OutcomeCallerLeft
	}
	if job.sends > 1 || outcome != OutcomeServed {
		job.log.WithFields(logrus.Fields{
			"status": res.StatusCode, "outcome": outcome, "sends": job.sends, "route": job.rou.Name,
			"after_ms": job.gat.opt.Clock.Since(job.arrived).Milliseconds(),
		}).Info("request answered")
	}
	job.recordOutcome(outcome)
}

// refusalFor returns the refusal for a request after its last attempt has failed.
func (job *job) refusalFor(cause error) refuser.Refusal {
	switch {
	case job.mayHaveRun == 0:
		return refuser.NotRun("not run: "+cause.Error(), retryAfterFailure)
	case job.gat.opt.Clock.Until(job.deadline) <= 0:
		return refuser.AnswerTimeout("no answer before the deadline: " + cause.Error())
	}
	return refuser.OutcomeUnknown(cause.Error())
}

// retryAfterFailure is the Retry-After of a request that no unit accepted: the breaker and the detector need about this long to take a failed unit out of service.
const retryAfterFailure = 300 * time.Millisecond
