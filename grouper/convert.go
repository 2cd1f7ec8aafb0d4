package grouper

import (
	"maps"
	"math"
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// reassignUtilization is the utilization of a model from which other models give up groups for it even where no group of it has survivors. It is above scaleUpUtilization, so that standby groups are used first.
	reassignUtilization = 0.9
	// donorUtilization is the utilization that a donor model may reach on the groups that it keeps. It is below scaleUpUtilization, so that the donor does not ask for the groups back at once.
	donorUtilization = 0.7
)

// reassign dissolves surplus groups of other models where their servers, together with idle ones, can form a group of a model without any load from the weight store. The new group is formed in a later round, once the servers are free. reassign reports false when there are no such groups.
func (rnd *round) reassign(mod router.Model) bool {
	if rnd.inp.BeforeFirstRequest || rnd.awaitsEnough(mod) {
		return false
	}
	donors := rnd.donors(mod)
	byDomain := rnd.idleByDomain(mod, true)
	for ins := range donors {
		ser := rnd.inp.View.Servers[ins.ID]
		byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
	}
	var best *choice
	for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
		if len(byDomain[dom]) < mod.Size || rnd.awaitsRelease[dom] {
			continue
		}
		one := rnd.choose(mod, byDomain[dom])
		taken := groupsContaining(one.members, donors)
		one.displaced += len(taken)
		if one.loads > 0 || !rnd.isWorth(mod, one, taken) {
			continue
		}
		if best == nil || one.before(*best) {
			best = &one
		}
	}
	if best == nil {
		return false
	}
	rnd.out.Dissolve = append(rnd.out.Dissolve, groupsContaining(best.members, donors)...)
	rnd.out.Dissolve = append(rnd.out.Dissolve, groupsContaining(best.members, rnd.standbyMembers)...)
	rnd.awaitsRelease[best.members[0].Domain] = true
	return true
}

// isWorth reports whether open groups are given up for a new group of a model: where most members of the new group are survivors of an earlier group of the model, and elsewhere if the model is overloaded.
func (rnd *round) isWorth(mod router.Model, cho choice, taken []Formation) bool {
	return (rnd.overloaded(mod) || 2*cho.loaded > mod.Size) && rnd.canSpare(taken)
}

// overloaded reports whether the mean demand of a model, or else its load, exceeds what its groups serve at reassignUtilization. A crest of the demand is over before a conversion pays.
func (rnd *round) overloaded(mod router.Model) bool {
	if rnd.sizing != nil {
		return rnd.sizing.overloads(mod.Name, len(rnd.active[mod.Name]), reassignUtilization)
	}
	loa := rnd.inp.Loads[mod.Name]
	return float64(loa.InUse+loa.Waiting) >= reassignUtilization*float64(loa.Slots)
}

// awaitsEnough reports whether servers are about to be released in as many domains as the model lacks groups.
func (rnd *round) awaitsEnough(mod router.Model) bool {
	return len(rnd.awaitsRelease) >= max(1, rnd.targets[mod.Name]-len(rnd.active[mod.Name]))
}

// idleByDomain returns the free servers that a model may take, and the standby servers if wanted, by fabric domain. Standby servers are left out where servers are about to be released for an earlier plan.
func (rnd *round) idleByDomain(mod router.Model, withStandby bool) map[string][]registrar.Server {
	out := map[string][]registrar.Server{}
	for _, ser := range rnd.free {
		if !rnd.reservedForOther(mod, ser) {
			out[ser.Domain] = append(out[ser.Domain], ser)
		}
	}
	if !withStandby {
		return out
	}
	for ins := range rnd.standbyMembers {
		if ser := rnd.inp.View.Servers[ins.ID]; !rnd.awaitsRelease[ser.Domain] {
			out[ser.Domain] = append(out[ser.Domain], ser)
		}
	}
	return out
}

// reservedForOther reports whether a free server is kept for another model, which lacks groups and whose weights the server has in its accelerators. It is kept while servers are about to be released in its domain, and from a model that has as many groups as its load needs.
func (rnd *round) reservedForOther(mod router.Model, ser registrar.Server) bool {
	other := ser.Loaded
	if other == mod.Name || len(rnd.active[other]) >= rnd.targets[other] {
		return false
	}
	return rnd.awaitsRelease[ser.Domain] || len(rnd.active[mod.Name]) >= rnd.neededGroups(mod.Name)
}

// donors returns the members of the open groups of all models except mod, apart from groups on which an operation runs.
func (rnd *round) donors(mod router.Model) map[registrar.Instance]Formation {
	out := map[registrar.Instance]Formation{}
	for name, frms := range rnd.active {
		for _, frm := range frms {
			if name == mod.Name || rnd.inp.Busy[frm.Name] || !frm.IsOpen(rnd.inp.View) {
				continue
			}
			for _, ins := range frm.Members {
				out[ins] = frm
			}
		}
	}
	return out
}

// groupsContaining returns the groups in among that the servers belong to, each once.
func groupsContaining(servers []registrar.Server, among map[registrar.Instance]Formation) []Formation {
	var out []Formation
	for _, ser := range servers {
		frm, found := among[ser.Instance()]
		if found && !slices.ContainsFunc(out, func(oth Formation) bool { return oth.Name == frm.Name }) {
			out = append(out, frm)
		}
	}
	return out
}

// canSpare reports whether each model can handle its load without the given groups.
func (rnd *round) canSpare(frms []Formation) bool {
	taken := map[string]int{}
	for _, frm := range frms {
		taken[frm.Model]++
	}
	for name, num := range taken {
		if num > rnd.surplusGroups(name) {
			return false
		}
	}
	return true
}

// surplusGroups returns how many open groups a model can give up while the rest handle its load.
func (rnd *round) surplusGroups(model string) int {
	slots := rnd.inp.Engine.Slots
	if slots == 0 {
		return 0
	}
	return max(0, rnd.inp.Loads[model].Slots/slots-rnd.neededGroups(model))
}

// neededGroups returns how many groups a model needs for its demand, or else for its load.
func (rnd *round) neededGroups(model string) int {
	if rnd.sizing != nil {
		return max(1, int(math.Ceil(rnd.sizing.needed(model, donorUtilization))))
	}
	return rnd.groupsAt(donorUtilization, model)
}

// groupsAt returns how many groups run the load of a model at a slot utilization, at least 1.
func (rnd *round) groupsAt(utilization float64, model string) int {
	loa, slots := rnd.inp.Loads[model], rnd.inp.Engine.Slots
	if slots == 0 {
		return 1
	}
	return max(1, int(math.Ceil(float64(loa.InUse+loa.Waiting)/(utilization*float64(slots)))))
}
