package planner

import (
	"cmp"
	"slices"
)

// preload lets one spare at a time load weights ahead, while nothing else is to be done: those that groups of its fabric domain
// may need, or, in a domain without groups, those of a whole replica.
//
// A member that is lost then costs no transfer.
func (rnd *round) preload() {
	if rnd.opt.ReformElsewhere || rnd.queued > 0 || len(rnd.actions) > 0 {
		return
	}
	counts, all := rnd.modelsByDomain(), map[string]int{}
	for _, model := range rnd.models {
		all[model] = rnd.inv.Models[model].Replicas
	}
	for _, name := range rnd.vms {
		if !rnd.free(name) || !rnd.usable(name) {
			continue
		}
		own, used := counts[rnd.inv.VMs[name].Domain]
		if !used {
			own = all
		}
		if model := rnd.wantedBy(name, own, !used); model != "" {
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

// wantedBy returns the model with the highest count that the VM fits and that too few spares of the domain hold or load.
func (rnd *round) wantedBy(vm string, counts map[string]int, whole bool) string {
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
		mod := rnd.inv.Models[model]
		wanted := 1
		if whole {
			wanted = mod.VMsPerReplica
		}
		spares := rnd.spares(spec.Domain, model, wanted)
		ready := len(spares) == wanted && rnd.headway(spares[wanted-1], model) > 0
		if !ready && spec.Accelerators >= mod.AcceleratorsEach && (!whole || len(spares) == wanted) {
			return model
		}
	}
	return ""
}
