package grouper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// formStandby forms standby groups of the remaining free servers, so that replacing a lost group only takes opening one, and has the rest load weights as spares.
func (rnd *round) formStandby() {
	models := slices.Clone(rnd.inp.Engine.Models)
	slices.SortStableFunc(models, func(one, two router.Model) int { return cmp.Compare(two.Size, one.Size) })
	for _, mod := range models {
		byDomain := map[string][]registrar.Server{}
		for _, ser := range rnd.free {
			if ser.Loaded == mod.Name || ser.Loaded == "" && rnd.inp.BeforeFirstRequest && rnd.dominates(mod, ser.Domain) {
				byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
			}
		}
		for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
			for list := byDomain[dom]; len(list) >= mod.Size; list = list[mod.Size:] {
				rnd.proposeStandby(mod, list[:mod.Size])
			}
		}
	}
	rnd.formSpares()
}

func (rnd *round) proposeStandby(mod router.Model, list []registrar.Server) {
	cho := rnd.choose(mod, list)
	rnd.out.Form = append(rnd.out.Form, Proposal{Model: mod, Members: cho.members, ReadyIn: cho.readyIn, Loads: cho.loads, Standby: true})
	rnd.free = slices.DeleteFunc(rnd.free, func(ser registrar.Server) bool {
		return slices.ContainsFunc(cho.members, func(mem registrar.Server) bool { return mem.ID == ser.ID })
	})
}

// dominates reports whether a model has the most servers in a domain.
func (rnd *round) dominates(mod router.Model, domain string) bool {
	best, found := rnd.dominantModel(domain)
	return found && best.Name == mod.Name
}

// stageWeights has servers stage on their hosts the weights of a model other than the one that they serve, so that they can switch models quickly. Before the first request it does so on all servers, later only on idle ones.
func (rnd *round) stageWeights() {
	for _, ser := range rnd.usable() {
		_, onStandby := rnd.standbyMembers[ser.Instance()]
		idle := onStandby || slices.ContainsFunc(rnd.free, func(oth registrar.Server) bool { return oth.ID == ser.ID })
		if ser.Loaded == "" || rnd.inp.Staging[ser.Instance()] != "" || !idle && !rnd.inp.BeforeFirstRequest {
			continue
		}
		if mod, found := rnd.modelToStage(ser); found {
			rnd.out.Stage = append(rnd.out.Stage, Staging{Server: ser, Model: mod})
		}
	}
	slices.SortFunc(rnd.out.Stage, func(one, two Staging) int { return cmp.Compare(one.Server.ID, two.Server.ID) })
}

// modelToStage returns the model that a server should stage on its host. found is false when it is staged already.
func (rnd *round) modelToStage(ser registrar.Server) (model string, found bool) {
	for _, mod := range rnd.inp.Engine.Models {
		if mod.Name == ser.Loaded {
			continue
		}
		if slices.Contains(ser.Staged, mod.Name) {
			return "", false
		}
		model = mod.Name
	}
	return model, model != ""
}
