package planner

import (
	"cmp"
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
)

// quota returns how many of a model's replicas this region should serve, in proportion to how many groups the VMs of each region can hold.
func (rnd *round) quota(model string) int {
	if num, known := rnd.quotas[model]; known {
		return num
	}
	mod := rnd.inv.Models[model]
	num := mod.Replicas
	if rnd.regionCount() > 1 {
		num = apportion(mod.Replicas, rnd.capacity(mod))[rnd.pla.Region]
	}
	rnd.quotas[model] = num
	return num
}

func (rnd *round) regionCount() int {
	seen := map[string]bool{}
	for _, zone := range rnd.inv.Zones {
		seen[zone.Region] = true
	}
	return len(seen)
}

// capacity returns how many groups of a model fit into each region; a group does not span fabric domains.
func (rnd *round) capacity(mod cataloger.Model) map[string]int {
	type regionDomain struct{ region, domain string }
	vms := map[regionDomain]int{}
	for _, vm := range rnd.inv.VMs {
		if vm.WorkerKind == cataloger.WorkerEngine && vm.Accelerators >= mod.AcceleratorsPerVM && !rnd.vie.Catalog.Rules.ZoneDisabled(vm.Zone) {
			vms[regionDomain{rnd.inv.Zones[vm.Zone].Region, vm.Domain}]++
		}
	}
	out := map[string]int{}
	for plc, num := range vms {
		out[plc.region] += num / max(mod.VMsPerReplica, 1)
	}
	return out
}

// apportion splits total in proportion to capacity by the largest remainder method; ties go to the first name in sorted order.
func apportion(total int, capacity map[string]int) map[string]int {
	sum := 0
	var names []string
	for name, num := range capacity {
		sum += num
		names = append(names, name)
	}
	out := map[string]int{}
	if sum == 0 {
		return out
	}
	remaining := total
	for _, name := range names {
		out[name] = total * capacity[name] / sum
		remaining -= out[name]
	}
	slices.SortFunc(names, func(one, two string) int {
		if dif := cmp.Compare(total*capacity[two]%sum, total*capacity[one]%sum); dif != 0 {
			return dif
		}
		return cmp.Compare(one, two)
	})
	for _, name := range names[:min(remaining, len(names))] {
		out[name]++
	}
	return out
}
