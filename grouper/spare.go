package grouper

import (
	"maps"
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// isSpare reports whether a formation has fewer members than its model needs. Such a formation only has its member load the weights of the model: the server can then join a group of its domain as fast as the survivors of a lost one.
func (rnd *round) isSpare(frm Formation) bool {
	mod, known := rnd.model(frm.Model)
	return known && frm.Standby && len(frm.Members) < mod.Size
}

// classifySpare retires a spare that has loaded the weights. Its server stays as it is, like the survivor of a lost group: one that leaves its group no longer lists the model.
func (rnd *round) classifySpare(frm Formation) {
	if frm.isReady(rnd.inp.View) {
		if !rnd.inp.Busy[frm.Name] {
			rnd.out.Retire = append(rnd.out.Retire, frm)
		}
		return
	}
	for _, ins := range frm.Members {
		rnd.loadingSpares[frm.Model] = append(rnd.loadingSpares[frm.Model], rnd.inp.View.Servers[ins.ID])
	}
}

// isLoading reports whether a server is a spare that loads the weights of a model.
func (rnd *round) isLoading(mod router.Model, ser registrar.Server) bool {
	return slices.ContainsFunc(rnd.loadingSpares[mod.Name], func(oth registrar.Server) bool { return oth.ID == ser.ID })
}

// loadMissing has free servers load the weights that the next group of a model lacks, in the domain where it lacks the fewest. The servers that hold the weights already are not bound until the loads have ended, so they can join any group that is complete sooner. It reports false when no domain has enough servers, or when the weight store serves no more loads at full speed.
func (rnd *round) loadMissing(mod router.Model) bool {
	byDomain := rnd.idleByDomain(mod, true)
	for _, ser := range rnd.loadingSpares[mod.Name] {
		byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
	}
	var best *choice
	for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
		if len(byDomain[dom]) < mod.Size {
			continue
		}
		if one := rnd.choose(mod, byDomain[dom]); best == nil || one.before(*best) {
			best = &one
		}
	}
	if best == nil {
		return false
	}
	missing := slices.DeleteFunc(slices.Clone(best.members), func(ser registrar.Server) bool {
		return rnd.readyIn(mod, ser) <= mod.HostLoadTime || rnd.isLoading(mod, ser) || rnd.standbyCount(ser) > 0
	})
	started := 0
	for _, ser := range missing {
		if rnd.proposeSpare(mod, ser) {
			started++
		}
	}
	if started < len(missing) {
		return false
	}
	rnd.setAside(mod, best.members)
	return true
}

// setAside counts servers as a group of the model for the rest of the round.
func (rnd *round) setAside(mod router.Model, servers []registrar.Server) {
	isMember := func(ser registrar.Server) bool {
		return slices.ContainsFunc(servers, func(mem registrar.Server) bool { return mem.ID == ser.ID })
	}
	frm := Formation{Model: mod.Name}
	for _, ser := range servers {
		frm.Members = append(frm.Members, ser.Instance())
	}
	rnd.free = slices.DeleteFunc(rnd.free, isMember)
	rnd.loadingSpares[mod.Name] = slices.DeleteFunc(rnd.loadingSpares[mod.Name], isMember)
	rnd.active[mod.Name] = append(rnd.active[mod.Name], frm)
}

// proposeSpare has a free server load the weights of a model. It reports false when the weight store serves no more loads at full speed.
func (rnd *round) proposeSpare(mod router.Model, ser registrar.Server) bool {
	loads := 0
	if rnd.readyIn(mod, ser) > mod.HostLoadTime {
		loads = 1
	}
	if !rnd.canLoad(loads) {
		return false
	}
	rnd.loading += loads
	rnd.out.Form = append(rnd.out.Form, Proposal{Model: mod, Members: []registrar.Server{ser}, ReadyIn: rnd.readyIn(mod, ser), Loads: loads, Standby: true})
	rnd.free = slices.DeleteFunc(rnd.free, func(oth registrar.Server) bool { return oth.ID == ser.ID })
	return true
}

// formSpares has the free servers that hold no weights load those of the model with the most servers in their domain, whose groups lose members most often.
func (rnd *round) formSpares() {
	for _, ser := range slices.Clone(rnd.free) {
		if ser.Loaded != "" {
			continue
		}
		if mod, found := rnd.dominantModel(ser.Domain); found && !rnd.proposeSpare(mod, ser) {
			return
		}
	}
}

// dominantModel returns the model whose groups have the most members in a domain, and of equal ones the one with the larger groups.
func (rnd *round) dominantModel(domain string) (router.Model, bool) {
	var best router.Model
	most := -1
	for _, mod := range rnd.inp.Engine.Models {
		num := 0
		for _, frm := range rnd.active[mod.Name] {
			if len(frm.Members) > 0 && rnd.inp.View.Servers[frm.Members[0].ID].Domain == domain {
				num += len(frm.Members)
			}
		}
		if num > most || num == most && mod.Size > best.Size {
			best, most = mod, num
		}
	}
	return best, most >= 0
}
