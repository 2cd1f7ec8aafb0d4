package queuer

import "github.com/lovagelever/lovagelever/refuser"

// victim selects the request to evict from a full queue: the newest one of the workspace furthest over its share, if that is further over than the workspace of the new request would be.
func (que *Queue) victim(itm Item) (*entry, error) {
	shares := que.shares(itm)
	if float64(que.waitingByWorkspace[itm.Workspace]) >= shares[itm.Workspace] {
		return nil, que.overShareError(itm)
	}
	worst, highest := "", float64(que.waitingByWorkspace[itm.Workspace]+1)/shares[itm.Workspace]
	for wsp, num := range que.waitingByWorkspace {
		ratio := float64(num) / shares[wsp]
		if ratio > highest || ratio == highest && worst != "" && wsp < worst {
			worst, highest = wsp, ratio
		}
	}
	if worst == "" || highest <= 1 {
		return nil, refuser.NotRun("the queue is full", que.RetryAfter(itm))
	}
	return que.newestLowestPriority(worst), nil
}

// shares divides the capacity by weight among the queued workspaces and the workspace of the new request.
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

// newestLowestPriority returns the newest request in the lowest priority of a workspace.
func (que *Queue) newestLowestPriority(wsp string) *entry {
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
