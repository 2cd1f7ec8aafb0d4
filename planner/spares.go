package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/recorder"
)

func (rnd *round) free(vm string) bool {
	return rnd.vie.GroupByVM[vm] == "" && !rnd.reserved[vm]
}

func (rnd *round) usable(vm string) bool {
	obs := rnd.obs.VMs[vm]
	return obs.Health == HealthLive && !obs.Leaving && !rnd.suspected(vm)
}

func (rnd *round) suspected(vm string) bool {
	_, avoided := rnd.mem.avoided[vm]
	return avoided || rnd.isStraggler(vm)
}

// spares returns up to num free and usable VMs of a domain that fit the model, those that hold or load its weights first.
func (rnd *round) spares(domain, model string, num int) []string {
	mod := rnd.inv.Models[model]
	var out []string
	for _, name := range rnd.vms {
		vm := rnd.inv.VMs[name]
		if vm.Domain == domain && vm.Accelerators >= mod.AcceleratorsPerVM && rnd.free(name) && rnd.usable(name) {
			out = append(out, name)
		}
	}
	slices.SortStableFunc(out, func(one, two string) int {
		if dif := cmp.Compare(rnd.weightsProgress(two, model), rnd.weightsProgress(one, model)); dif != 0 {
			return dif
		}
		return cmp.Compare(rnd.inv.VMs[one].Accelerators, rnd.inv.VMs[two].Accelerators)
	})
	return out[:min(num, len(out))]
}

// weightsProgress returns 2 for a VM that holds the weights of a model, 1 for one that is loading them, and 0 otherwise.
func (rnd *round) weightsProgress(vm, model string) int {
	obs := rnd.obs.VMs[vm]
	version := rnd.inv.Models[model].Version
	switch {
	case obs.holds(model, version):
		return 2
	case obs.State == StateLoading && obs.Model == model && obs.Version == version, rnd.recentlyStaged(vm, model):
		return 1
	default:
		return 0
	}
}

// recentlyStaged reports whether a staging order was sent so recently that the VM may still be loading, which engines do not report.
func (rnd *round) recentlyStaged(vm, model string) bool {
	att := rnd.currentAttempt(vm, stagingTarget(rnd.inv, model), 0)
	return att.count > 0 && rnd.now.Before(att.nextAt)
}

func stagingTarget(inv cataloger.Inventory, model string) string {
	return "staged/" + model + "@" + inv.Models[model].Version
}

func (rnd *round) place(model string) (placer.Placement, error) {
	mod := rnd.inv.Models[model]
	req := placer.Request{
		Model:      model,
		Shape:      placer.GroupShape{VMs: mod.VMsPerReplica, AcceleratorsEach: mod.AcceleratorsPerVM},
		ZoneGroups: rnd.zoneGroups(model),
		Shapes:     rnd.needs,
	}
	for _, name := range rnd.vms {
		if rnd.free(name) {
			req.Candidates = append(req.Candidates, rnd.candidate(name, model))
		}
	}
	return rnd.pla.Policy.Place(req)
}

func (rnd *round) candidate(name, model string) placer.Candidate {
	vm, obs := rnd.inv.VMs[name], rnd.obs.VMs[name]
	return placer.Candidate{
		Name: name, Zone: vm.Zone, Domain: vm.Domain, Accelerators: vm.Accelerators,
		HasWeights: rnd.weightsProgress(name, model) > 0,
		Leaving:    obs.Leaving,
		Unhealthy:  obs.Health != HealthLive,
		Suspected:  rnd.suspected(name),
		ZoneOut:    rnd.vie.Catalog.Rules.ZoneDisabled(vm.Zone),
	}
}

func (rnd *round) zoneGroups(model string) map[string]int {
	out := map[string]int{}
	for _, zone := range rnd.proposedZones[model] {
		out[zone]++
	}
	for _, grp := range rnd.byModel[model] {
		if grp.active() {
			out[grp.Zone]++
		}
	}
	return out
}

func (rnd *round) newForm(model string, vms []string, replaces, reason string) recorder.FormGroup {
	rnd.groupSeq++
	return recorder.FormGroup{
		Group:    fmt.Sprintf("%s-%d-%d", model, rnd.vie.Offset, rnd.groupSeq),
		Model:    model,
		Version:  rnd.inv.Models[model].Version,
		VMs:      vms,
		Replaces: replaces,
		Reason:   reason,
	}
}

// gigabytesPerVM returns the weights that one VM of a group loads, in gigabytes.
func gigabytesPerVM(mod cataloger.Model) float64 {
	return mod.WeightsGigabytes / float64(max(mod.VMsPerReplica, 1))
}
