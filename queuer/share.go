package queuer

import "github.com/lovagelever/lovagelever/refuser"

// victim is the last request of the workspace that is furthest over its share of a full queue.
func (que *Queue) victim(itm Item) (*entry, error) {
	weights := que.weights(itm)
	if que.excess(itm.Workspace, weights) >= 0 {
		return nil, que.overShare(itm)
	}
	worst, most := "", 0.0
	for wsp := range que.held {
		exc := que.excess(wsp, weights)
		if exc > most || exc == most && exc > 0 && wsp < worst {
			worst, most = wsp, exc
		}
	}
	if worst == "" {
		return nil, refuser.NotRun("the queue is full", que.RetryAfter(itm))
	}
	return que.lastOf(worst), nil
}

// excess is how far a workspace is over its share, as a part of the share.
func (que *Queue) excess(wsp string, weights map[string]int) float64 {
	total := 0
	for _, wei := range weights {
		total += wei
	}
	share := float64(que.opt.Capacity) * float64(weights[wsp]) / float64(total)
	return float64(que.held[wsp])/share - 1
}

func (que *Queue) weights(itm Item) map[string]int {
	out := map[string]int{itm.Workspace: itm.Weight}
	for _, flo := range que.flows {
		if len(flo.entries) > 0 {
			out[flo.key.workspace] = max(out[flo.key.workspace], flo.weight())
		}
	}
	return out
}

// lastOf returns the newest request of a workspace at its lowest priority.
func (que *Queue) lastOf(wsp string) *entry {
	var low *flow
	for _, flo := range que.flows {
		if flo.key.workspace != wsp || len(flo.entries) == 0 {
			continue
		}
		if low == nil || flo.key.priority < low.key.priority || flo.key.priority == low.key.priority && flo.key.lane < low.key.lane {
			low = flo
		}
	}
	return low.entries[len(low.entries)-1]
}
