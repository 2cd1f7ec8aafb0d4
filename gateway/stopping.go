package gateway

import (
	"time"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// stopMargin is what must be left between the end of a request and that of a stopping entry.
	stopMargin = time.Second
	// stopWorkFactor is how many times longer than expected streams on a full unit take.
	stopWorkFactor = 3
	// retryAfterStopping is the Retry-After of a stopping entry, short because another entry can take the request at once.
	retryAfterStopping = 20 * time.Millisecond
)

// Stop says when a stopping entry ends, and from when on callers have had the time to use other entries.
type Stop struct {
	Ends         time.Time
	RedirectedAt time.Time
}

// End gives up the requests that have no answer yet, so that their callers get a refusal or learn that the outcome is unknown before the process ends. Streams that have begun go on.
func (gat *Gateway) End() {
	gat.end()
}

// checkStopping refuses a request that a stopping entry might not finish, unless this entry has begun to run it. What counts is the longest work that is expected; once callers have had the time to use other entries, the deadline of a stream, which End cannot answer.
func (job *job) checkStopping() error {
	sto, stopping := job.gat.opt.Stopping()
	if !stopping || job.mayHaveRun > job.runsBefore() {
		return nil
	}
	now := job.gat.opt.Clock.Now()
	latest := sto.Ends.Add(-stopMargin)
	if !job.deadline.After(latest) {
		return nil
	}
	mayEstimate := job.rou.Kind != router.Stream || now.Before(sto.RedirectedAt)
	if mayEstimate && !now.Add(job.longestWork()).After(latest) {
		return nil
	}
	return elsewhere("this entry ends before the request could", retryAfterStopping)
}

// runsBefore returns how many runs of a request are those of the entry that has forwarded it.
func (job *job) runsBefore() int {
	if job.forwarded == nil {
		return 0
	}
	return job.forwarded.runs
}

// longestWork returns how long a unit may need to run the request, at most until its deadline: the answer may be as long as the caller accepts, however long it is expected to be.
func (job *job) longestWork() time.Duration {
	left := max(0, job.gat.opt.Clock.Until(job.deadline))
	if job.ser.Engine == nil {
		return min(left, stopWorkFactor*max(plainCallWork, job.gat.durations.slowest(job.ser.Name)))
	}
	siz := estimator.Request{PromptTokens: job.cal.PromptTokens, AnswerTokens: job.cal.AnswerTokens}
	return min(left, max(job.engineWork(siz, job.ser.Engine.Slots), stopWorkFactor*job.expectedWork()))
}
