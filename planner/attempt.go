package planner

import (
	"fmt"
	"time"
)

// attempt returns what was tried of an order, afresh when the order or the run of the engine is another.
func (rnd *round) attempt(vm, group string, fence int64) attempt {
	att := rnd.mem.orders[vm]
	started := rnd.obs.VMs[vm].Started
	if att.group != group || att.fence != fence || att.started != started {
		return attempt{group: group, fence: fence, started: started}
	}
	return att
}

// due reports whether an order may be sent now, and counts it.
func (rnd *round) due(vm, group string, fence int64) bool {
	att := rnd.attempt(vm, group, fence)
	if rnd.now.Before(att.next) {
		return false
	}
	att.next = rnd.now.Add(rnd.backoff(att.count))
	att.count++
	rnd.mem.orders[vm] = att
	return true
}

// expect lets the order that was just counted have so much time before it is sent again.
func (rnd *round) expect(vm string, lasts time.Duration) {
	att := rnd.mem.orders[vm]
	if next := rnd.now.Add(lasts); next.After(att.next) {
		att.next = next
	}
	rnd.mem.orders[vm] = att
}

func (rnd *round) backoff(count int) time.Duration {
	return min(rnd.opt.OrderBackoff<<min(count, 16), rnd.opt.OrderBackoffMax)
}

// countAttempt gives a VM up for a while when too many orders had no effect.
func (rnd *round) countAttempt(vm string, obs Observation) {
	num := rnd.mem.orders[vm].count
	if num <= rnd.opt.OrderAttempts || obs.Health != HealthLive {
		return
	}
	rnd.avoid(vm, true)
	rnd.reason("vm/"+vm, fmt.Sprintf("%d load orders without effect, state %s: %s", num-1, obs.State, obs.Reason))
}

// watchLoad gives a VM up for a while when its load lasts too long.
func (rnd *round) watchLoad(vm, group string, fence int64) {
	att := rnd.attempt(vm, group, fence)
	if att.limit.IsZero() {
		att.limit = rnd.now.Add(rnd.opt.LoadLimit + 2*rnd.queueTime())
	}
	rnd.mem.orders[vm] = att
	if rnd.now.Before(att.limit) {
		return
	}
	rnd.avoid(vm, true)
	rnd.reason("vm/"+vm, "load does not end")
}
