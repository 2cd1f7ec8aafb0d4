package queuer

import "github.com/lovagelever/lovagelever/refuser"

// victim is the last request of the workspace that is furthest over its share of a full queue, and further than the newcomer would be.
func (que *Queue) victim(itm Item) (*entry, error) {
	shares := que.shares(itm)
	if float64(que.held[itm.Workspace]) >= shares[itm.Workspace] {
		return nil, que.overShare(itm)
	}
	worst, most := "", float64(que.held[itm.Workspace]+1)/shares[itm.Workspace]
	for wsp, num := range que.held {
		part := float64(num) / shares[wsp]
		if part > most || part == most && worst != "" && wsp < worst {
			worst, most = wsp, part
		}
	}
	if worst == "" || most <= 1 {
		return nil, refuser.NotRun("the queue is full", que.RetryAfter(itm))
	}
	return que.lastOf(worst), nil
}

// shares divides the capacity by weight among the workspaces that wait and the newcomer.
func (que *Queue) shares(itm Item) map[string]float64 {
	weights := que.weights(itm)
	total := 0
	for _, wei := range weights {
		total += wei
	}
	out := make(map[string]float64, len(weights))
	for wsp, wei := range weights {
		out[wsp] = float64(que.opt.Capacity) * float64(wei) / float64(total)
	}
	return out
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
