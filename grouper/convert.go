package grouper

import (
	"maps"
	"math"
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// short is the share of a model's places above which other models give groups to it: above crowded, so that groups which stand by come first.
	short = 0.9
	// relaxed is the share of its places up to which a model fills the groups that it keeps: below crowded, so that it does not ask for them back at once.
	relaxed = 0.7
)

// convert has surplus groups of other models dissolved where their servers, with idle ones, make a group of a model that is short of places and need no load from the weight store for it. The group is formed in a later round, once they are free; convert reports false when there is none to be had.
func (rnd *round) convert(mod router.Model) bool {
	loa := rnd.pic.Loads[mod.Name]
	if rnd.pic.BeforeFirstRequest || rnd.waits || float64(loa.InUse+loa.Waiting) < short*float64(loa.Slots) {
		return false
	}
	givers := rnd.givers(mod)
	byDomain := rnd.idleByDomain()
	for lif := range givers {
		ser := rnd.pic.View.Servers[lif.ID]
		byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
	}
	var best *choice
	for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
		if len(byDomain[dom]) < mod.Size {
			continue
		}
		one := rnd.choose(mod, byDomain[dom])
		one.broken += len(groupsOf(one.members, givers))
		if one.loads == 0 && rnd.canSpare(groupsOf(one.members, givers)) && (best == nil || one.before(*best)) {
			best = &one
		}
	}
	if best == nil {
		return false
	}
	rnd.out.Dissolve = append(rnd.out.Dissolve, groupsOf(best.members, givers)...)
	rnd.out.Dissolve = append(rnd.out.Dissolve, groupsOf(best.members, rnd.stands)...)
	rnd.waits = true
	return true
}

// idleByDomain returns the servers that are free or stand by; the latter are left out while some are about to be free for an earlier plan.
func (rnd *round) idleByDomain() map[string][]registrar.Server {
	out := map[string][]registrar.Server{}
	for _, ser := range rnd.free {
		out[ser.Domain] = append(out[ser.Domain], ser)
	}
	for lif := range rnd.stands {
		if rnd.waits {
			break
		}
		ser := rnd.pic.View.Servers[lif.ID]
		out[ser.Domain] = append(out[ser.Domain], ser)
	}
	return out
}

// givers returns the members of the open groups of all models but one.
func (rnd *round) givers(mod router.Model) map[registrar.Life]Formation {
	out := map[registrar.Life]Formation{}
	for name, frms := range rnd.active {
		for _, frm := range frms {
			if name == mod.Name || rnd.pic.Busy[frm.Name] || !frm.IsOpen(rnd.pic.View) {
				continue
			}
			for _, lif := range frm.Members {
				out[lif] = frm
			}
		}
	}
	return out
}

// groupsOf returns the groups among some that the servers belong to, each once.
func groupsOf(servers []registrar.Server, among map[registrar.Life]Formation) []Formation {
	var out []Formation
	for _, ser := range servers {
		frm, found := among[ser.Life()]
		if found && !slices.ContainsFunc(out, func(oth Formation) bool { return oth.Name == frm.Name }) {
			out = append(out, frm)
		}
	}
	return out
}

// canSpare reports whether the models bear their load without the groups.
func (rnd *round) canSpare(frms []Formation) bool {
	taken := map[string]int{}
	for _, frm := range frms {
		taken[frm.Model]++
	}
	for name, num := range taken {
		if num > rnd.surplus(name) {
			return false
		}
	}
	return true
}

// surplus is how many open groups of a model may go while the others bear its load.
func (rnd *round) surplus(model string) int {
	loa, slots := rnd.pic.Loads[model], rnd.pic.Engine.Slots
	if slots == 0 {
		return 0
	}
	needed := int(math.Ceil(float64(loa.InUse+loa.Waiting) / (relaxed * float64(slots))))
	return max(0, loa.Slots/slots-max(1, needed))
}
