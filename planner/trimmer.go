package planner

import (
	"cmp"
	"slices"
	"strings"
)

// trim quiesces surplus groups, one of a model at a time, when the wanted number serves without it.
func (rnd *round) trim() {
	for _, model := range rnd.models {
		if rnd.activeGroups(model, nil) <= rnd.quota(model) {
			delete(rnd.mem.surplus, model)
			continue
		}
		if victim := rnd.victim(model); victim != nil && !rnd.quiescing(model) {
			rnd.proposeQuiesce(victim, false, "more groups than wanted")
		}
	}
}

func (rnd *round) victim(model string) *unit {
	since, known := rnd.mem.surplus[model]
	if !known {
		since = rnd.now
		rnd.mem.surplus[model] = since
	}
	var cands []*unit
	for _, uni := range rnd.byModel[model] {
		if uni.active() && !uni.pending && !uni.Quiesced {
			cands = append(cands, uni)
		}
	}
	if len(cands) == 0 {
		return nil
	}
	zones := rnd.zoneGroups(model)
	uni := slices.MinFunc(cands, func(one, two *unit) int { return rnd.comparePreference(one, two, zones) })
	if rnd.firmGroups(model, uni) < rnd.quota(model) {
		return nil
	}
	if uni.serving && !rnd.old(uni) && rnd.now.Sub(since) < rnd.opt.SurplusHold {
		return nil
	}
	return uni
}

// comparePreference orders first the group that is best given up.
func (rnd *round) comparePreference(one, two *unit, zones map[string]int) int {
	return cmp.Or(
		-compareBool(rnd.old(one), rnd.old(two)),
		compareBool(one.serving, two.serving),
		-cmp.Compare(zones[one.Zone], zones[two.Zone]),
		-cmp.Compare(one.Fence, two.Fence),
		strings.Compare(one.Name, two.Name),
	)
}

func compareBool(one, two bool) int {
	if one == two {
		return 0
	}
	if two {
		return -1
	}
	return 1
}

// firmGroups counts the serving groups that are to stay.
func (rnd *round) firmGroups(model string, without *unit) int {
	num := 0
	for _, uni := range rnd.byModel[model] {
		if uni != without && uni.serving && uni.active() && !uni.Quiesced {
			num++
		}
	}
	return num
}

func (rnd *round) old(uni *unit) bool {
	return uni.Version != rnd.inv.Models[uni.Model].Version
}
