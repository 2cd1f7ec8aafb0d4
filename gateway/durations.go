package gateway

import (
	"sync"
	"time"
)

// durationDecay is the weight of a shorter call in the slowest duration of a service, so that one slow call is forgotten after some dozens of others.
const durationDecay = 0.05

// durations holds how long the slowest recent plain calls took, by service.
type durations struct {
	mux  sync.Mutex
	slow map[string]time.Duration
}

func (dur *durations) record(service string, took time.Duration) {
	dur.mux.Lock()
	defer dur.mux.Unlock()
	if dur.slow == nil {
		dur.slow = map[string]time.Duration{}
	}
	slow := dur.slow[service]
	if took < slow {
		took = slow - time.Duration(durationDecay*float64(slow-took))
	}
	dur.slow[service] = took
}

// slowest returns how long the slowest recent calls of a service took, zero if none is known.
func (dur *durations) slowest(service string) time.Duration {
	dur.mux.Lock()
	defer dur.mux.Unlock()
	return dur.slow[service]
}
