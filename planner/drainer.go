package planner

import (
	"fmt"
	"strings"
)

// replaceLeaving starts the replacement of leaving members ahead of their departure.
func (rnd *round) replaceLeaving() {
	for _, grp := range rnd.groups {
		if grp.mayChange() && len(grp.lost) == 0 && rnd.hasLeavingMember(grp) {
			rnd.replaceGracefully(grp, grp.outgoing, "leaving "+strings.Join(grp.outgoing, ", "))
		}
	}
}

// stable reports whether a group may change and has no lost or uncertain member.
func (grp *groupState) stable() bool {
	return grp.mayChange() && len(grp.lost) == 0 && !grp.hasUncertainMember()
}

func (rnd *round) hasLeavingMember(grp *groupState) bool {
	for _, name := range grp.outgoing {
		if rnd.obs.VMs[name].Leaving {
			return true
		}
	}
	return false
}

// replaceGracefully prepares the replacement before the group stops: spares of the domain preload the weights, or another whole group serves.
func (rnd *round) replaceGracefully(grp *groupState, outgoing []string, reason string) {
	if rnd.servingGroups(grp.Model, grp) >= rnd.quota(grp.Model) {
		rnd.quiesceForReplacement(grp, outgoing, false, reason+", and other groups suffice")
		return
	}
	if rnd.activeGroups(grp.Model, grp) >= rnd.quota(grp.Model) {
		grp.superseded = true
		rnd.setWaitReason(grp, reason+", another group is being formed")
		rnd.quiesceIfLeavingSoon(grp, outgoing, false, reason)
		return
	}
	spares := rnd.spares(grp.Domain, grp.Model, len(outgoing))
	if len(spares) < len(outgoing) {
		grp.superseded = true
		rnd.setWaitReason(grp, reason+", no spare in domain "+grp.Domain)
		rnd.quiesceIfLeavingSoon(grp, outgoing, false, reason)
		return
	}
	rnd.reserve(spares)
	staged := rnd.preloadWeights(grp.Model, spares)
	if staged < len(spares) {
		rnd.setWaitReason(grp, fmt.Sprintf("%s, %d of %d spares hold the weights", reason, staged, len(spares)))
		rnd.quiesceIfLeavingSoon(grp, outgoing, true, reason)
		return
	}
	if rnd.quiescing(grp.Model) {
		rnd.setWaitReason(grp, reason+", another group of the model is quiesced")
		rnd.quiesceIfLeavingSoon(grp, outgoing, true, reason)
		return
	}
	rnd.quiesceForReplacement(grp, outgoing, true, reason)
}

// quiesceIfLeavingSoon quiesces a group whose replacement is not ready once a member leaves within LeaveQuiesceMargin.
func (rnd *round) quiesceIfLeavingSoon(grp *groupState, outgoing []string, reform bool, reason string) {
	if rnd.leavesWithin(grp, rnd.opt.LeaveQuiesceMargin) {
		rnd.quiesceForReplacement(grp, outgoing, reform, reason)
	}
}

func (rnd *round) quiesceForReplacement(grp *groupState, outgoing []string, reform bool, reason string) {
	for _, name := range outgoing {
		if rnd.isStraggler(name) {
			rnd.avoid(name, false)
			rnd.mem.stragglerReplacedAt[grp.Model] = rnd.now
		}
	}
	rnd.proposeQuiesce(grp, reform, reason)
}

// avoid excludes a VM from new groups for AvoidDuration.
func (rnd *round) avoid(vm string, failed bool) {
	delete(rnd.mem.suspicions, vm)
	rnd.mem.avoided[vm] = avoidance{until: rnd.now.Add(rnd.opt.AvoidDuration), failed: failed}
}

// preloadWeights orders spares to preload weights and returns how many hold them already.
func (rnd *round) preloadWeights(model string, spares []string) int {
	mod := rnd.inv.Models[model]
	held := 0
	for _, name := range spares {
		obs := rnd.obs.VMs[name]
		if obs.holds(model, mod.Version) {
			held++
			continue
		}
		if rnd.weightsProgress(name, model) > 0 {
			rnd.checkLoadDeadline(name, stagingTarget(rnd.inv, model), 0)
			continue
		}
		if !rnd.queueHasRoom(repairQueueFactor) || !rnd.beginAttempt(name, stagingTarget(rnd.inv, model), 0) {
			continue
		}
		rnd.enqueue(model, []string{name})
		rnd.extendWait(name, 2*rnd.queueTime())
		rnd.actions = append(rnd.actions, Action{Stage: &StageOrder{
			VM: name, Address: rnd.inv.VMs[name].Address, Fence: rnd.vie.Offset,
			Model: model, Version: mod.Version, Adapters: mod.Adapters, WeightsGigabytes: gigabytesPerVM(mod),
		}})
	}
	return held
}
