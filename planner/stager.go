package planner

import "time"

// stageAhead lets spares load the weights as soon as a member is dead, and ends the grace early once they hold them.
//
// The load and the grace then pass at the same time. A member that comes back
// in the meantime has cost one transfer, and the spare keeps the weights.
func (rnd *round) stageAhead() {
	if rnd.opt.ReformElsewhere {
		return
	}
	for _, uni := range rnd.units {
		if uni.repairable() && !uni.unknown && rnd.activeGroups(uni.Model, uni) < rnd.quota(uni.Model) {
			rnd.stageFor(uni)
		}
	}
}

func (rnd *round) stageFor(uni *unit) {
	missing := append(append([]string{}, uni.lost...), uni.doubted...)
	spares := rnd.spares(uni.Domain, uni.Model, len(missing))
	if len(missing) == 0 {
		return
	}
	if len(spares) < len(missing) {
		rnd.endGraceElsewhere(uni, missing)
		return
	}
	switch held := rnd.stage(uni.Model, spares); {
	case held < len(spares):
		uni.staging = rnd.anyLoading(spares, uni.Model)
		rnd.reserve(spares)
	case rnd.deadFor(uni.doubted) >= rnd.opt.StagedGrace:
		uni.lost, uni.doubted = missing, nil
	default:
		rnd.reserve(spares)
	}
}

// endGraceElsewhere ends the grace early for a group without spares when VMs elsewhere hold the weights of a whole one.
func (rnd *round) endGraceElsewhere(uni *unit, missing []string) {
	plc, err := rnd.place(uni.Model)
	if err != nil || rnd.deadFor(uni.doubted) < rnd.opt.StagedGrace {
		return
	}
	for _, name := range plc.VMs {
		if rnd.headway(name, uni.Model) < 2 {
			return
		}
	}
	uni.lost, uni.doubted = missing, nil
}

func (rnd *round) anyLoading(vms []string, model string) bool {
	for _, name := range vms {
		if rnd.headway(name, model) == 1 {
			return true
		}
	}
	return false
}

// deadFor is how long all of the VMs have been dead; it is longer than any grace when there are none.
func (rnd *round) deadFor(vms []string) time.Duration {
	least := rnd.opt.Grace + rnd.opt.StagedGrace
	for _, name := range vms {
		least = min(least, rnd.now.Sub(rnd.obs.VMs[name].Since))
	}
	return least
}
