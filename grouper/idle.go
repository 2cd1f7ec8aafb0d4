package grouper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// standBy groups what is left over, so that a whole group only has to be opened when one is lost.
func (rnd *round) standBy() {
	models := slices.Clone(rnd.pic.Engine.Models)
	slices.SortFunc(models, func(one, two router.Model) int { return cmp.Compare(one.Size, two.Size) })
	for num, mod := range models {
		byDomain := map[string][]registrar.Server{}
		for _, ser := range rnd.free {
			// Small groups fit anywhere, so empty servers join the smallest model.
			if ser.Loaded == mod.Name || ser.Loaded == "" && num == 0 {
				byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
			}
		}
		for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
			for list := byDomain[dom]; len(list) >= mod.Size; list = list[mod.Size:] {
				cho := rnd.choose(mod, list[:mod.Size])
				if !rnd.mayLoad(cho.loads) {
					continue
				}
				rnd.loading += cho.loads
				rnd.out.Form = append(rnd.out.Form, Proposal{Model: mod, Members: cho.members, ReadyIn: cho.ready, Loads: cho.loads, Standby: true})
				rnd.free = slices.DeleteFunc(rnd.free, func(ser registrar.Server) bool {
					return slices.ContainsFunc(cho.members, func(mem registrar.Server) bool { return mem.ID == ser.ID })
				})
			}
		}
	}
}

// stage has servers hold on their hosts the weights of another model than the one that they serve, so that they can change over quickly: all before the first request, and later those that serve nothing.
func (rnd *round) stage() {
	for _, ser := range rnd.usable() {
		_, stands := rnd.stands[ser.Life()]
		idle := stands || slices.ContainsFunc(rnd.free, func(oth registrar.Server) bool { return oth.ID == ser.ID })
		if ser.Loaded == "" || rnd.pic.Staging[ser.Life()] != "" || !idle && !rnd.pic.BeforeFirstRequest {
			continue
		}
		if mod, found := rnd.other(ser); found {
			rnd.out.Stage = append(rnd.out.Stage, Staging{Server: ser, Model: mod})
		}
	}
	slices.SortFunc(rnd.out.Stage, func(one, two Staging) int { return cmp.Compare(one.Server.ID, two.Server.ID) })
}

// other returns the model that a server should hold on its host; found is false when it holds it.
func (rnd *round) other(ser registrar.Server) (model string, found bool) {
	for _, mod := range rnd.pic.Engine.Models {
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
