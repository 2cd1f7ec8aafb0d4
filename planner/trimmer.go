package planner

import (
	"cmp"
	"slices"
	"strings"
)

// trimSurplus quiesces surplus groups, one per model at a time, when enough other groups serve.
func (rnd *round) trimSurplus() {
	for _, model := range rnd.models {
		if rnd.activeGroups(model, nil) <= rnd.quota(model) {
			delete(rnd.mem.surplusSince, model)
			continue
		}
		if surplus := rnd.surplusGroup(model); surplus != nil && !rnd.quiescing(model) {
			rnd.proposeQuiesce(surplus, false, "more groups than wanted")
		}
	}
}

// surplusGroup returns the group to quiesce, or nil while too few other groups serve or the surplus of serving groups is too recent.
func (rnd *round) surplusGroup(model string) *groupState {
	since, known := rnd.mem.surplusSince[model]
	if !known {
		since = rnd.now
		rnd.mem.surplusSince[model] = since
	}
	var cands []*groupState
	for _, grp := range rnd.byModel[model] {
		if grp.active() && !grp.pending && !grp.Quiesced {
			cands = append(cands, grp)
		}
	}
	if len(cands) == 0 {
		return nil
	}
	zones := rnd.zoneGroups(model)
	grp := slices.MinFunc(cands, func(one, two *groupState) int { return rnd.compareSurplus(one, two, zones) })
	if rnd.keptServingGroups(model, grp) < rnd.quota(model) {
		return nil
	}
	if grp.serving && !rnd.outdated(grp) && rnd.now.Sub(since) < rnd.opt.SurplusHold {
		return nil
	}
	return grp
}

// compareSurplus sorts the group to give up first: outdated, not serving, in the fullest zone, newest.
func (rnd *round) compareSurplus(one, two *groupState, zones map[string]int) int {
	return cmp.Or(
		-compareBool(rnd.outdated(one), rnd.outdated(two)),
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

// keptServingGroups counts the serving groups that are meant to stay.
func (rnd *round) keptServingGroups(model string, except *groupState) int {
	num := 0
	for _, grp := range rnd.byModel[model] {
		if grp != except && grp.serving && grp.active() && !grp.Quiesced {
			num++
		}
	}
	return num
}

func (rnd *round) outdated(grp *groupState) bool {
	return grp.Version != rnd.inv.Models[grp.Model].Version
}
