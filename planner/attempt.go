package planner

import (
	"fmt"
	"time"
)

// currentAttempt returns the attempts to send an order, starting from zero when the order differs or the engine restarted.
func (rnd *round) currentAttempt(vm, target string, fence int64) attempt {
	att := rnd.mem.attempts[vm]
	started := rnd.obs.VMs[vm].Started
	if att.target != target || att.fence != fence || att.started != started {
		return attempt{target: target, fence: fence, started: started}
	}
	return att
}

// beginAttempt reports whether an order may be sent now; if so, it counts the order and schedules the next one.
func (rnd *round) beginAttempt(vm, target string, fence int64) bool {
	att := rnd.currentAttempt(vm, target, fence)
	if rnd.now.Before(att.nextAt) {
		return false
	}
	att.nextAt = rnd.now.Add(rnd.backoff(att.count))
	att.count++
	rnd.mem.attempts[vm] = att
	return true
}

// extendWait delays the next attempt of the order just counted until at least wait has passed.
func (rnd *round) extendWait(vm string, wait time.Duration) {
	att := rnd.mem.attempts[vm]
	if next := rnd.now.Add(wait); next.After(att.nextAt) {
		att.nextAt = next
	}
	rnd.mem.attempts[vm] = att
}

func (rnd *round) backoff(count int) time.Duration {
	return min(rnd.opt.OrderBackoff<<min(count, 16), rnd.opt.OrderBackoffMax)
}

// checkAttempts avoids a live VM for AvoidDuration when too many orders had no effect.
func (rnd *round) checkAttempts(vm string, obs Observation) {
	num := rnd.mem.attempts[vm].count
	if num <= rnd.opt.MaxOrderAttempts || obs.Health != HealthLive {
		return
	}
	rnd.avoid(vm, true)
	rnd.setReason("vm/"+vm, fmt.Sprintf("%d load orders had no effect, state %s: %s", num-1, obs.State, obs.Reason))
}

// checkLoadDeadline avoids a VM for AvoidDuration when its load takes too long.
func (rnd *round) checkLoadDeadline(vm, target string, fence int64) {
	att := rnd.currentAttempt(vm, target, fence)
	if att.loadDeadline.IsZero() {
		att.loadDeadline = rnd.now.Add(rnd.opt.LoadTimeout + 2*rnd.queueTime())
	}
	rnd.mem.attempts[vm] = att
	if rnd.now.Before(att.loadDeadline) {
		return
	}
	rnd.avoid(vm, true)
	rnd.setReason("vm/"+vm, "load did not finish in time")
}
