package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
)

// noteRunning records that the request was accepted, and returns a function that records its end.
func (job *job) noteRunning() (end func()) {
	job.gat.running.Store(job, struct{}{})
	return func() { job.gat.running.Delete(job) }
}

// LogCut logs the requests whose handlers still run when the entry ends, which began to stop at a time. It reads only what does not change once a request was accepted.
func (gat *Gateway) LogCut(stopped time.Time) {
	now := gat.opt.Clock.Now()
	gat.running.Range(func(key, _ any) bool {
		job := key.(*job)
		gat.opt.Logger.WithFields(logrus.Fields{
			"request": job.cal.ID, "route": job.rou.Name, "after_ms": now.Sub(job.arrived).Milliseconds(), "arrived_after_stop_ms": job.arrived.Sub(stopped).Milliseconds(),
			"answer_tokens": job.cal.AnswerTokens, "length_hint": job.cal.LengthHint, "deadline_in_ms": job.deadline.Sub(now).Milliseconds(),
		}).Warn("request cut off by the end of the entry")
		return true
	})
}
