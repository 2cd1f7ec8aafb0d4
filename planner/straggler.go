package planner

import (
	"slices"
	"time"
)

const (
	minStragglerSamples = 3 // members of a model with a step time, below which the median is not used
	stragglerHysteresis = 3 // slow reports counted beyond StragglerReports; they delay the clearing of a straggler
)

// detectStragglers counts, for each member, the reports whose step time is far above the median of its model's members,
// and adds the members found to be stragglers to the outgoing ones.
func (rnd *round) detectStragglers() {
	for _, model := range rnd.models {
		var vms []string
		var steps []time.Duration
		for _, grp := range rnd.byModel[model] {
			for _, name := range grp.VMs {
				if obs := rnd.obs.VMs[name]; obs.reportsGroup(grp.Group) && obs.StepTime > 0 {
					vms = append(vms, name)
					steps = append(steps, obs.StepTime)
				}
			}
		}
		if len(steps) >= minStragglerSamples {
			slices.Sort(steps)
			rnd.countSlowReports(vms, steps[(len(steps)-1)/2])
		}
	}
	for _, grp := range rnd.groups {
		for _, name := range grp.VMs {
			if rnd.needsReplacement(name) && !slices.Contains(grp.lost, name) && !slices.Contains(grp.outgoing, name) {
				grp.outgoing = append(grp.outgoing, name)
			}
		}
	}
}

// countSlowReports updates the count of each VM that has reported since the last round.
func (rnd *round) countSlowReports(vms []string, median time.Duration) {
	for _, name := range vms {
		obs := rnd.obs.VMs[name]
		sus := rnd.mem.suspicions[name]
		if !obs.ReportedAt.After(sus.reportedAt) {
			continue
		}
		ratio := float64(obs.StepTime) / float64(median)
		switch {
		case ratio > rnd.opt.StragglerRatio:
			sus.slowReports = min(sus.slowReports+1, rnd.opt.StragglerReports+stragglerHysteresis)
		case ratio < rnd.opt.StragglerClearRatio && sus.slowReports < rnd.opt.StragglerReports:
			sus.slowReports = 0
		case ratio < rnd.opt.StragglerClearRatio:
			sus.slowReports--
		}
		sus.reportedAt = obs.ReportedAt
		rnd.mem.suspicions[name] = sus
	}
}

// isStraggler reports whether a VM has enough slow reports, or is avoided because it straggled.
func (rnd *round) isStraggler(vm string) bool {
	avo, avoided := rnd.mem.avoided[vm]
	return avoided && !avo.failed || rnd.mem.suspicions[vm].slowReports >= rnd.opt.StragglerReports
}

// avoidReplacedStragglers avoids the stragglers of a group that are not among its new members.
func (rnd *round) avoidReplacedStragglers(grp *groupState, vms []string) {
	for _, name := range grp.VMs {
		if rnd.isStraggler(name) && !slices.Contains(vms, name) {
			rnd.avoid(name, false)
		}
	}
}

// replaceStragglers starts at most one straggler replacement of a model per StragglerInterval.
func (rnd *round) replaceStragglers() {
	for _, model := range rnd.models {
		if last, known := rnd.mem.stragglerReplacedAt[model]; known && rnd.now.Sub(last) < rnd.opt.StragglerInterval {
			continue
		}
		if grp, vm := rnd.firstStraggler(model); grp != nil {
			rnd.replaceGracefully(grp, []string{vm}, "straggler "+vm)
		}
	}
}

func (rnd *round) firstStraggler(model string) (*groupState, string) {
	if rnd.quiescing(model) {
		return nil, ""
	}
	for _, grp := range rnd.byModel[model] {
		if !grp.stable() || rnd.hasLeavingMember(grp) {
			continue
		}
		for _, name := range grp.outgoing {
			return grp, name
		}
	}
	return nil, ""
}
