package gateway

import (
	"math/rand/v2"

	"github.com/lovagelever/lovagelever/refuser"
)

// maxStartWait is how long a request waits for the first configuration: its caller is still there when the request is served then.
const maxStartWait = callerPatience - resumeMargin

// awaitConfig waits for the first configuration while no other entry can serve the request either, as after a loss of power everywhere. It refuses the request at once if another entry can, and otherwise after maxStartWait or the time after which callers come back.
func (job *job) awaitConfig() error {
	if !job.gat.opt.Isolated() {
		return elsewhere("this entry knows no configuration yet", retryAfterStopping)
	}
	timer := job.gat.opt.Clock.NewTimer(min(maxStartWait, refuser.OutageRetryAfter(job.cal.Timeout, rand.Float64())))
	defer timer.Stop()
	select {
	case <-job.gat.opt.Started:
	case <-timer.Chan():
	case <-job.req.Context().Done():
	}
	job.tab = job.gat.opt.Table()
	if job.tab == nil {
		left := job.cal.Timeout - job.gat.opt.Clock.Since(job.arrived)
		return elsewhere("this entry knows no configuration yet", refuser.OutageRetryAfter(left, rand.Float64()))
	}
	return nil
}
