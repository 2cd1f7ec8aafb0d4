package planner

import (
	"cmp"
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
)

// quota returns how many of a model's wanted groups this region should serve: each region's part goes by how many groups its VMs can hold.
func (rnd *round) quota(model string) int {
	if num, known := rnd.quotas[model]; known {
		return num
	}
	mod := rnd.inv.Models[model]
	num := mod.Replicas
	if rnd.regions() > 1 {
		num = apportion(mod.Replicas, rnd.room(mod))[rnd.pla.Region]
	}
	rnd.quotas[model] = num
	return num
}

func (rnd *round) regions() int {
	seen := map[string]bool{}
	for _, zone := range rnd.inv.Zones {
		seen[zone.Region] = true
	}
	return len(seen)
}

func (rnd *round) room(mod cataloger.Model) map[string]int {
	type place struct{ region, domain string }
	vms := map[place]int{}
	for _, vm := range rnd.inv.VMs {
		if vm.Worker == cataloger.WorkerEngine && vm.Accelerators >= mod.AcceleratorsEach && !rnd.vie.Catalog.Rules.ZoneOut(vm.Zone) {
			vms[place{rnd.inv.Zones[vm.Zone].Region, vm.Domain}]++
		}
	}
	out := map[string]int{}
	for plc, num := range vms {
		out[plc.region] += num / max(mod.VMsPerReplica, 1)
	}
	return out
}

// apportion splits total by largest remainder; ties go to the first name.
func apportion(total int, room map[string]int) map[string]int {
	sum := 0
	var names []string
	for name, num := range room {
		sum += num
		names = append(names, name)
	}
	out := map[string]int{}
	if sum == 0 {
		return out
	}
	left := total
	for _, name := range names {
		out[name] = total * room[name] / sum
		left -= out[name]
	}
	slices.SortFunc(names, func(one, two string) int {
		if dif := cmp.Compare(total*room[two]%sum, total*room[one]%sum); dif != 0 {
			return dif
		}
		return cmp.Compare(one, two)
	})
	for _, name := range names[:min(left, len(names))] {
		out[name]++
	}
	return out
}
