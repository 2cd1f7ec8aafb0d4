package planner

import (
	"slices"
	"time"
)

// finish retires quiesced groups whose requests have ended, or forms them anew when the model needs them.
func (rnd *round) finish() {
	for _, uni := range rnd.units {
		if uni.Quiesced && !uni.gone {
			rnd.finishUnit(uni)
		}
	}
}

func (rnd *round) finishUnit(uni *unit) {
	vms := rnd.renewed(uni)
	needed := rnd.activeGroups(uni.Model, uni) < rnd.quota(uni.Model)
	uni.reforming = needed && vms != nil && !uni.zoneOut && !uni.dark
	if uni.reforming {
		rnd.reserve(vms)
	}
	if uni.pending {
		return
	}
	if !rnd.drained(uni) {
		rnd.waits(uni, "quiesced, requests still run")
		return
	}
	if !uni.reforming {
		rnd.proposeRetire(uni, "quiesced and drained")
		return
	}
	rnd.proposeReplacement(uni, vms, "quiesced, drained and renewed")
}

func (rnd *round) proposeReplacement(uni *unit, vms []string, why string) {
	rnd.noteStragglers(uni, vms)
	uni.pending, uni.gone = true, true
	rnd.enqueue(uni.Model, vms)
	rnd.proposeForm(rnd.formOf(uni.Model, vms, uni.Name, why))
}

// renewed returns the group's VMs with spares in the ranks of lost and straying ones, or nil when there are too few; stragglers stay when spares are short.
func (rnd *round) renewed(uni *unit) []string {
	stays := func(name string) bool {
		return !slices.Contains(uni.lost, name) && !rnd.obs.VMs[name].Leaving
	}
	if vms := rnd.filled(uni, func(name string) bool { return stays(name) && !slices.Contains(uni.bad, name) }); vms != nil {
		return vms
	}
	return rnd.filled(uni, stays)
}

func (rnd *round) filled(uni *unit, stays func(string) bool) []string {
	vms := slices.Clone(uni.VMs)
	var empty []int
	for rank, name := range vms {
		if !stays(name) {
			empty = append(empty, rank)
		}
	}
	found := rnd.spares(uni.Domain, uni.Model, len(empty))
	if len(found) < len(empty) {
		return nil
	}
	for num, rank := range empty {
		vms[rank] = found[num]
	}
	return vms
}

func (rnd *round) reserve(vms []string) {
	for _, name := range vms {
		rnd.taken[name] = true
	}
}

func (rnd *round) drained(uni *unit) bool {
	since, known := rnd.mem.quiesced[uni.Name]
	if !known {
		since = rnd.now
		rnd.mem.quiesced[uni.Name] = since
	}
	if len(uni.lost) > 0 || uni.dark || rnd.leavesWithin(uni, rnd.opt.LeaveMargin) {
		return true
	}
	settled := since.Add(rnd.opt.DrainSettle)
	for _, name := range uni.VMs {
		obs := rnd.obs.VMs[name]
		if obs.At.Before(settled) {
			return false
		}
		if obs.shows(uni.Group) && obs.Running+obs.Queued > 0 {
			return false
		}
	}
	return true
}

func (rnd *round) leavesWithin(uni *unit, limit time.Duration) bool {
	for _, name := range uni.VMs {
		obs := rnd.obs.VMs[name]
		if obs.Leaving && !obs.LeavesAt.IsZero() && obs.LeavesAt.Sub(rnd.now) <= limit {
			return true
		}
	}
	return false
}
