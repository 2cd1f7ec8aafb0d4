package queuer

import (
	"slices"
	"time"
)

// flowKey identifies a flow, whose requests are served in FIFO order.
type flowKey struct {
	workspace string
	lane      string
	priority  int
}

type flow struct {
	key           flowKey
	entries       []*entry
	totalCost     float64
	virtualFinish float64
	lastServed    uint64
}

type entry struct {
	Item
	flow       *flow
	enqueuedAt time.Time
}

func (flo *flow) push(ent *entry) {
	flo.entries = append(flo.entries, ent)
	flo.totalCost += ent.Cost
}

func (flo *flow) remove(ent *entry) {
	num := slices.Index(flo.entries, ent)
	if num == 0 {
		flo.entries[0] = nil
		flo.entries = flo.entries[1:]
	} else {
		flo.entries = slices.Delete(flo.entries, num, num+1)
	}
	flo.totalCost -= ent.Cost
	if len(flo.entries) == 0 {
		flo.totalCost = 0
	}
}

// virtualStart returns the start tag of the first request of the flow in start-time fair queuing.
func (flo *flow) virtualStart(virtual float64) float64 {
	return max(virtual, flo.virtualFinish)
}

func (flo *flow) weight() int {
	return flo.entries[0].Weight
}

// nextFlow returns the flow whose first request is served next, or nil if allow accepts none.
func (que *Queue) nextFlow(allow func(Item) bool) *flow {
	var best, aged *flow
	agedBefore := que.opt.Clock.Now().Add(-que.opt.AgingThreshold)
	for _, flo := range que.flows {
		if len(flo.entries) == 0 || allow != nil && !allow(flo.entries[0].Item) {
			continue
		}
		if best == nil || que.before(flo, best) {
			best = flo
		}
		if flo.entries[0].enqueuedAt.Before(agedBefore) && (aged == nil || servedLessRecently(flo, aged)) {
			aged = flo
		}
	}
	que.popsSinceAged++
	if aged == nil || que.popsSinceAged < AgingInterval {
		return best
	}
	que.popsSinceAged = 0
	return aged
}

func (que *Queue) before(flo, oth *flow) bool {
	if flo.key.priority != oth.key.priority {
		return flo.key.priority > oth.key.priority
	}
	vir := que.virtualTime[flo.key.priority]
	if flo.virtualStart(vir) != oth.virtualStart(vir) {
		return flo.virtualStart(vir) < oth.virtualStart(vir)
	}
	return servedLessRecently(flo, oth)
}

func servedLessRecently(flo, oth *flow) bool {
	if flo.lastServed != oth.lastServed {
		return flo.lastServed < oth.lastServed
	}
	if !flo.entries[0].enqueuedAt.Equal(oth.entries[0].enqueuedAt) {
		return flo.entries[0].enqueuedAt.Before(oth.entries[0].enqueuedAt)
	}
	return flo.entries[0].ID < oth.entries[0].ID
}

// pruneIdleFlows deletes empty flows whose virtual finish time has passed; until then a flow is kept, so that its workspace gains no advantage by emptying it.
func (que *Queue) pruneIdleFlows() {
	if len(que.flows) <= 2*len(que.waitingByWorkspace)+16 {
		return
	}
	for key, flo := range que.flows {
		if len(flo.entries) == 0 && flo.virtualFinish <= que.virtualTime[key.priority] {
			delete(que.flows, key)
		}
	}
}
