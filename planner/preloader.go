package planner

import (
	"cmp"
	"slices"
)

// preloadSpare lets one spare preload weights, so that replacing a lost group member needs no transfer.
// It does so only while the round has no other action, no transfer is queued and groups do not reform elsewhere.
//
// A spare preloads a model that groups of its fabric domain serve. In a domain without groups,
// the spares preload the weights of a whole replica, one spare a round.
func (rnd *round) preloadSpare() {
	if rnd.opt.ReformElsewhere || rnd.queuedGigabytes > 0 || len(rnd.actions) > 0 {
		return
	}
	counts, replicas := rnd.groupsByDomain(), map[string]int{}
	for _, model := range rnd.models {
		replicas[model] = rnd.inv.Models[model].Replicas
	}
	for _, name := range rnd.vms {
		if !rnd.free(name) || !rnd.usable(name) {
			continue
		}
		wanted, hasGroups := counts[rnd.inv.VMs[name].Domain]
		if !hasGroups {
			wanted = replicas
		}
		if model := rnd.modelToPreload(name, wanted, !hasGroups); model != "" {
			rnd.preloadWeights(model, []string{name})
			return
		}
	}
}

// groupsByDomain counts the groups of each model in each fabric domain.
func (rnd *round) groupsByDomain() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, grp := range rnd.groups {
		if !grp.active() {
			continue
		}
		if out[grp.Domain] == nil {
			out[grp.Domain] = map[string]int{}
		}
		out[grp.Domain][grp.Model]++
	}
	return out
}

// modelToPreload returns the model that a VM should preload, or "" if there is none or the VM already holds or loads one of the models.
// Of the models that fit the VM and that too few spares of its domain hold or load, it is the one with the highest count.
func (rnd *round) modelToPreload(vm string, counts map[string]int, wholeReplica bool) string {
	models := make([]string, 0, len(counts))
	for model := range counts {
		if rnd.weightsProgress(vm, model) > 0 {
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
		if wholeReplica {
			wanted = mod.VMsPerReplica
		}
		spares := rnd.spares(spec.Domain, model, wanted)
		// The spares that hold or load the weights come first, so the last one shows whether all do.
		ready := len(spares) == wanted && rnd.weightsProgress(spares[wanted-1], model) > 0
		if !ready && spec.Accelerators >= mod.AcceleratorsPerVM && (!wholeReplica || len(spares) == wanted) {
			return model
		}
	}
	return ""
}
