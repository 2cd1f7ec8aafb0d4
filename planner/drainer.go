package planner

import (
	"fmt"
	"strings"
)

// drain replaces the members that are leaving before they leave.
func (rnd *round) drain() {
	for _, uni := range rnd.units {
		if uni.repairable() && len(uni.lost) == 0 && rnd.leaving(uni) {
			rnd.replaceAhead(uni, uni.bad, "leaving "+strings.Join(uni.bad, ", "))
		}
	}
}

func (uni *unit) settled() bool {
	return uni.repairable() && len(uni.lost) == 0 && !uni.unsettled()
}

func (rnd *round) leaving(uni *unit) bool {
	for _, name := range uni.bad {
		if rnd.obs.VMs[name].Leaving {
			return true
		}
	}
	return false
}

// replaceAhead makes the replacement ready before the group stops: spares of the domain hold the weights, or another whole group serves.
func (rnd *round) replaceAhead(uni *unit, bad []string, why string) {
	if rnd.servingGroups(uni.Model, uni) >= rnd.quota(uni.Model) {
		rnd.quiesceFor(uni, bad, false, why+", and other groups suffice")
		return
	}
	if rnd.activeGroups(uni.Model, uni) >= rnd.quota(uni.Model) {
		uni.doomed = true
		rnd.waits(uni, why+", another group is on its way")
		rnd.quiesceLate(uni, bad, false, why)
		return
	}
	spares := rnd.spares(uni.Domain, uni.Model, len(bad))
	if len(spares) < len(bad) {
		uni.doomed = true
		rnd.waits(uni, why+", no spare in domain "+uni.Domain)
		rnd.quiesceLate(uni, bad, false, why)
		return
	}
	rnd.reserve(spares)
	staged := rnd.stage(uni.Model, spares)
	if staged < len(spares) {
		rnd.waits(uni, fmt.Sprintf("%s, %d of %d spares hold the weights", why, staged, len(spares)))
		rnd.quiesceLate(uni, bad, true, why)
		return
	}
	if rnd.quiescing(uni.Model) {
		rnd.waits(uni, why+", another group of the model is quiesced")
		rnd.quiesceLate(uni, bad, true, why)
		return
	}
	rnd.quiesceFor(uni, bad, true, why)
}

func (rnd *round) quiesceLate(uni *unit, bad []string, renew bool, why string) {
	if rnd.leavesWithin(uni, rnd.opt.LeaveNotice) {
		rnd.quiesceFor(uni, bad, renew, why)
	}
}

func (rnd *round) quiesceFor(uni *unit, bad []string, renew bool, why string) {
	for _, name := range bad {
		if rnd.straggles(name) {
			rnd.avoid(name, false)
			rnd.mem.replaced[uni.Model] = rnd.now
		}
	}
	rnd.proposeQuiesce(uni, renew, why)
}

func (rnd *round) avoid(vm string, failed bool) {
	delete(rnd.mem.suspicions, vm)
	rnd.mem.avoided[vm] = avoidance{until: rnd.now.Add(rnd.opt.AvoidFor), failed: failed}
}

// stage orders spares to load weights ahead and returns how many hold them.
func (rnd *round) stage(model string, spares []string) int {
	mod := rnd.inv.Models[model]
	held := 0
	for _, name := range spares {
		obs := rnd.obs.VMs[name]
		if obs.holds(model, mod.Version) {
			held++
			continue
		}
		if rnd.headway(name, model) > 0 {
			rnd.watchLoad(name, stagedAs(rnd.inv, model), 0)
			continue
		}
		if !rnd.queueRoom(aheadForRepair) || !rnd.due(name, stagedAs(rnd.inv, model), 0) {
			continue
		}
		rnd.enqueue(model, []string{name})
		rnd.expect(name, 2*rnd.queueTime())
		rnd.actions = append(rnd.actions, Action{Stage: &Stage{
			VM: name, Address: rnd.inv.VMs[name].Address, Fence: rnd.vie.Offset,
			Model: model, Version: mod.Version, Adapters: mod.Adapters, WeightsGigabytes: share(mod),
		}})
	}
	return held
}
