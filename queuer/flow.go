package queuer

import (
	"slices"
	"time"
)

// flowKey names requests that are served in the order of their arrival.
type flowKey struct {
	workspace string
	lane      string
	priority  int
}

type flow struct {
	key     flowKey
	entries []*entry
	cost    float64
	finish  float64
	served  uint64
}

type entry struct {
	Item
	flow  *flow
	since time.Time
}

func (flo *flow) push(ent *entry) {
	flo.entries = append(flo.entries, ent)
	flo.cost += ent.Cost
}

func (flo *flow) take(ent *entry) {
	num := slices.Index(flo.entries, ent)
	if num == 0 {
		flo.entries[0] = nil
		flo.entries = flo.entries[1:]
	} else {
		flo.entries = slices.Delete(flo.entries, num, num+1)
	}
	flo.cost -= ent.Cost
	if len(flo.entries) == 0 {
		flo.cost = 0
	}
}

// start is the virtual time at which the first request of the flow is due.
func (flo *flow) start(virtual float64) float64 {
	return max(virtual, flo.finish)
}

func (flo *flow) weight() int {
	return flo.entries[0].Weight
}

// next returns the flow whose first request goes next, or nil.
func (que *Queue) next(allow func(Item) bool) *flow {
	var best, aged *flow
	old := que.opt.Clock.Now().Add(-que.opt.AgeAfter)
	for _, flo := range que.flows {
		if len(flo.entries) == 0 || allow != nil && !allow(flo.entries[0].Item) {
			continue
		}
		if best == nil || que.before(flo, best) {
			best = flo
		}
		if flo.entries[0].since.Before(old) && (aged == nil || longerAgo(flo, aged)) {
			aged = flo
		}
	}
	que.sinceAg++
	if aged == nil || que.sinceAg < AgedEvery {
		return best
	}
	que.sinceAg = 0
	return aged
}

func (que *Queue) before(flo, oth *flow) bool {
	if flo.key.priority != oth.key.priority {
		return flo.key.priority > oth.key.priority
	}
	vir := que.virtual[flo.key.priority]
	if flo.start(vir) != oth.start(vir) {
		return flo.start(vir) < oth.start(vir)
	}
	return longerAgo(flo, oth)
}

func longerAgo(flo, oth *flow) bool {
	if flo.served != oth.served {
		return flo.served < oth.served
	}
	if !flo.entries[0].since.Equal(oth.entries[0].since) {
		return flo.entries[0].since.Before(oth.entries[0].since)
	}
	return flo.entries[0].ID < oth.entries[0].ID
}

// forgetIdle drops empty flows that owe nothing.
func (que *Queue) forgetIdle() {
	if len(que.flows) <= 2*len(que.held)+16 {
		return
	}
	for key, flo := range que.flows {
		if len(flo.entries) == 0 && flo.finish <= que.virtual[key.priority] {
			delete(que.flows, key)
		}
	}
}
