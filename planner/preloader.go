package planner

import (
	"cmp"
	"slices"
)

// preload lets one spare at a time load weights that groups of its fabric domain may need, while nothing else is to be done.
//
// A member that is lost then costs no transfer.
func (rnd *round) preload() {
	if rnd.opt.ReformElsewhere || rnd.queued > 0 || len(rnd.actions) > 0 {
		return
	}
	counts := rnd.modelsByDomain()
	for _, name := range rnd.vms {
		if !rnd.free(name) || !rnd.usable(name) {
			continue
		}
		if model := rnd.wantedBy(name, counts[rnd.inv.VMs[name].Domain]); model != "" {
			rnd.stage(model, []string{name})
			return
		}
	}
}

// modelsByDomain counts the groups of each model in each fabric domain.
func (rnd *round) modelsByDomain() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, uni := range rnd.units {
		if !uni.active() {
			continue
		}
		if out[uni.Domain] == nil {
			out[uni.Domain] = map[string]int{}
		}
		out[uni.Domain][uni.Model]++
	}
	return out
}

// wantedBy returns the model that most groups of the domain serve, that the VM fits and that no spare of the domain holds or loads.
func (rnd *round) wantedBy(vm string, counts map[string]int) string {
	models := make([]string, 0, len(counts))
	for model := range counts {
		if rnd.headway(vm, model) > 0 {
			return ""
		}
		models = append(models, model)
	}
	slices.SortFunc(models, func(one, two string) int {
		return cmp.Or(cmp.Compare(counts[two], counts[one]), cmp.Compare(one, two))
	})
	spec := rnd.inv.VMs[vm]
	for _, model := range models {
		spares := rnd.spares(spec.Domain, model, 1)
		ready := len(spares) > 0 && rnd.headway(spares[0], model) > 0
		if !ready && spec.Accelerators >= rnd.inv.Models[model].AcceleratorsEach {
			return model
		}
	}
	return ""
}
