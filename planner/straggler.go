package planner

import (
	"slices"
	"time"
)

const (
	fewestComparable = 3
	stragglerLatch   = 3
)

// suspect counts, for each member, the reports in a row whose step time is far over the median of its model's members.
func (rnd *round) suspect() {
	for _, model := range rnd.models {
		var vms []string
		var steps []time.Duration
		for _, uni := range rnd.byModel[model] {
			for _, name := range uni.VMs {
				if obs := rnd.obs.VMs[name]; obs.shows(uni.Group) && obs.StepTime > 0 {
					vms = append(vms, name)
					steps = append(steps, obs.StepTime)
				}
			}
		}
		if len(steps) >= fewestComparable {
			slices.Sort(steps)
			rnd.compare(vms, steps[(len(steps)-1)/2])
		}
	}
	for _, uni := range rnd.units {
		for _, name := range uni.VMs {
			if rnd.straying(name) && !slices.Contains(uni.lost, name) && !slices.Contains(uni.bad, name) {
				uni.bad = append(uni.bad, name)
			}
		}
	}
}

func (rnd *round) compare(vms []string, median time.Duration) {
	for _, name := range vms {
		obs := rnd.obs.VMs[name]
		sus := rnd.mem.suspicions[name]
		if !obs.At.After(sus.at) {
			continue
		}
		ratio := float64(obs.StepTime) / float64(median)
		switch {
		case ratio > rnd.opt.StragglerRatio:
			sus.count = min(sus.count+1, rnd.opt.StragglerCount+stragglerLatch)
		case ratio < rnd.opt.StragglerClear && sus.count < rnd.opt.StragglerCount:
			sus.count = 0
		case ratio < rnd.opt.StragglerClear:
			sus.count--
		}
		sus.at = obs.At
		rnd.mem.suspicions[name] = sus
	}
}

func (rnd *round) straggles(vm string) bool {
	avo, avoided := rnd.mem.avoided[vm]
	return avoided && !avo.failed || rnd.mem.suspicions[vm].count >= rnd.opt.StragglerCount
}

func (rnd *round) noteStragglers(uni *unit, vms []string) {
	for _, name := range uni.VMs {
		if rnd.straggles(name) && !slices.Contains(vms, name) {
			rnd.avoid(name, false)
		}
	}
}

// replaceStragglers replaces at most one straggler of a model at a time.
func (rnd *round) replaceStragglers() {
	for _, model := range rnd.models {
		if last, known := rnd.mem.replaced[model]; known && rnd.now.Sub(last) < rnd.opt.StragglerPause {
			continue
		}
		if uni, vm := rnd.firstStraggler(model); uni != nil {
			rnd.replaceAhead(uni, []string{vm}, "straggler "+vm)
		}
	}
}

func (rnd *round) firstStraggler(model string) (*unit, string) {
	if rnd.quiescing(model) {
		return nil, ""
	}
	for _, uni := range rnd.byModel[model] {
		if !uni.settled() || rnd.leaving(uni) {
			continue
		}
		for _, name := range uni.bad {
			return uni, name
		}
	}
	return nil, ""
}
