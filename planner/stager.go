package planner

import "time"

// stageForRepairs lets spares preload the weights as soon as a member is dead, and shortens the grace period once they hold them.
//
// The load and the grace period thus overlap. When the member comes back in
// the meantime, the cost is one transfer, and the spare keeps the weights.
func (rnd *round) stageForRepairs() {
	if rnd.opt.ReformElsewhere {
		return
	}
	for _, grp := range rnd.groups {
		if grp.mayChange() && !grp.memberUnknown && rnd.activeGroups(grp.Model, grp) < rnd.quota(grp.Model) {
			rnd.stageForGroup(grp)
		}
	}
}

func (rnd *round) stageForGroup(grp *groupState) {
	missing := append(append([]string{}, grp.lost...), grp.recentlyDead...)
	spares := rnd.spares(grp.Domain, grp.Model, len(missing))
	if len(missing) == 0 {
		return
	}
	if len(spares) < len(missing) {
		rnd.endGraceIfPlaceable(grp, missing)
		return
	}
	switch held := rnd.preloadWeights(grp.Model, spares); {
	case held < len(spares):
		grp.spareLoading = rnd.anyLoading(spares, grp.Model)
		rnd.reserve(spares)
	case rnd.deadFor(grp.recentlyDead) >= rnd.opt.StagedGracePeriod:
		grp.lost, grp.recentlyDead = missing, nil
	default:
		rnd.reserve(spares)
	}
}

// endGraceIfPlaceable shortens the grace period of a group without spares when VMs that hold the weights can form a whole group elsewhere.
func (rnd *round) endGraceIfPlaceable(grp *groupState, missing []string) {
	plc, err := rnd.place(grp.Model)
	if err != nil || rnd.deadFor(grp.recentlyDead) < rnd.opt.StagedGracePeriod {
		return
	}
	for _, name := range plc.VMs {
		if rnd.weightsProgress(name, grp.Model) < 2 {
			return
		}
	}
	grp.lost, grp.recentlyDead = missing, nil
}

func (rnd *round) anyLoading(vms []string, model string) bool {
	for _, name := range vms {
		if rnd.weightsProgress(name, model) == 1 {
			return true
		}
	}
	return false
}

// deadFor returns how long all of the VMs have been dead; for no VMs it exceeds any grace period.
func (rnd *round) deadFor(vms []string) time.Duration {
	shortest := rnd.opt.GracePeriod + rnd.opt.StagedGracePeriod
	for _, name := range vms {
		shortest = min(shortest, rnd.now.Sub(rnd.obs.VMs[name].HealthSince))
	}
	return shortest
}
