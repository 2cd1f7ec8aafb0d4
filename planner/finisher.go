package planner

import (
	"slices"
	"time"
)

// finishQuiesced retires drained groups, or forms them again when the model still needs them.
func (rnd *round) finishQuiesced() {
	for _, grp := range rnd.groups {
		if grp.Quiesced && !grp.stopping {
			rnd.finishGroup(grp)
		}
	}
}

func (rnd *round) finishGroup(grp *groupState) {
	vms := rnd.renewedMembers(grp)
	needed := rnd.activeGroups(grp.Model, grp) < rnd.quota(grp.Model)
	grp.reforming = needed && vms != nil && !grp.zoneOut && !grp.domainDown
	if grp.reforming {
		rnd.reserve(vms)
	}
	if grp.pending {
		return
	}
	if !rnd.drained(grp) {
		rnd.setWaitReason(grp, "quiesced, waiting for running requests")
		return
	}
	if !grp.reforming {
		rnd.proposeRetire(grp, "quiesced and drained")
		return
	}
	rnd.proposeReplacement(grp, vms, "quiesced, drained and renewed")
}

func (rnd *round) proposeReplacement(grp *groupState, vms []string, reason string) {
	rnd.avoidReplacedStragglers(grp, vms)
	grp.pending, grp.stopping = true, true
	rnd.enqueue(grp.Model, vms)
	rnd.proposeForm(rnd.newForm(grp.Model, vms, grp.Name, reason))
}

// renewedMembers returns the group's VMs with spares in place of lost, leaving and straggling ones, or nil when there are too few;
// stragglers stay when spares are short.
func (rnd *round) renewedMembers(grp *groupState) []string {
	keep := func(name string) bool {
		return !slices.Contains(grp.lost, name) && !rnd.obs.VMs[name].Leaving
	}
	if vms := rnd.fillRanks(grp, func(name string) bool { return keep(name) && !slices.Contains(grp.outgoing, name) }); vms != nil {
		return vms
	}
	return rnd.fillRanks(grp, keep)
}

// fillRanks replaces the VMs that are not kept by spares, or returns nil when there are too few.
func (rnd *round) fillRanks(grp *groupState, keep func(string) bool) []string {
	vms := slices.Clone(grp.VMs)
	var vacant []int
	for rank, name := range vms {
		if !keep(name) {
			vacant = append(vacant, rank)
		}
	}
	spares := rnd.spares(grp.Domain, grp.Model, len(vacant))
	if len(spares) < len(vacant) {
		return nil
	}
	for num, rank := range vacant {
		vms[rank] = spares[num]
	}
	return vms
}

func (rnd *round) reserve(vms []string) {
	for _, name := range vms {
		rnd.reserved[name] = true
	}
}

// drained reports whether a quiesced group has no running requests, or can no longer wait for them.
func (rnd *round) drained(grp *groupState) bool {
	since, known := rnd.mem.quiescedAt[grp.Name]
	if !known {
		since = rnd.now
		rnd.mem.quiescedAt[grp.Name] = since
	}
	if len(grp.lost) > 0 || grp.domainDown || rnd.leavesWithin(grp, rnd.opt.LeaveDrainMargin) {
		return true
	}
	settled := since.Add(rnd.opt.DrainSettle)
	for _, name := range grp.VMs {
		obs := rnd.obs.VMs[name]
		if obs.ReportedAt.Before(settled) {
			return false
		}
		if obs.reportsGroup(grp.Group) && obs.Running+obs.Queued > 0 {
			return false
		}
	}
	return true
}

func (rnd *round) leavesWithin(grp *groupState, limit time.Duration) bool {
	for _, name := range grp.VMs {
		obs := rnd.obs.VMs[name]
		if obs.Leaving && !obs.LeavesAt.IsZero() && obs.LeavesAt.Sub(rnd.now) <= limit {
			return true
		}
	}
	return false
}
