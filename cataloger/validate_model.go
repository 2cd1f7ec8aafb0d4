package cataloger

func (val *validator) checkModels() {
	largestDomains := map[int]int{}
	for name, mod := range val.cat.Inventory.Models {
		path := "inventory.models." + name
		if mod.Replicas < 0 {
			val.report(path+".replicas", "%d is below 0", mod.Replicas)
		}
		val.checkLimits(path, mod.ColdLimit, mod.WarmLimit)
		if mod.VMsPerReplica < 1 {
			val.report(path+".vms_per_replica", "%d is below 1", mod.VMsPerReplica)
			continue
		}
		size, counted := largestDomains[mod.AcceleratorsPerVM]
		if !counted {
			size = val.largestDomain(mod.AcceleratorsPerVM)
			largestDomains[mod.AcceleratorsPerVM] = size
		}
		if mod.VMsPerReplica > size {
			val.report(path+".vms_per_replica", "no fabric domain has %d engine VMs with at least %d accelerators, the largest has %d", mod.VMsPerReplica, mod.AcceleratorsPerVM, size)
		}
	}
}

// largestDomain returns the highest number of engine VMs in one fabric domain that have at least the given accelerators.
func (val *validator) largestDomain(accelerators int) int {
	counts := map[string]int{}
	most := 0
	for _, vm := range val.cat.Inventory.VMs {
		if vm.WorkerKind != WorkerEngine || vm.Domain == "" || vm.Accelerators < accelerators {
			continue
		}
		counts[vm.Domain]++
		most = max(most, counts[vm.Domain])
	}
	return most
}

func (val *validator) checkServices() {
	for name, svc := range val.cat.Inventory.Services {
		val.checkLimits("inventory.services."+name, svc.ColdLimit, svc.WarmLimit)
	}
}

func (val *validator) checkLimits(path string, cold, warm int) {
	if cold < 1 {
		val.report(path+".cold_limit", "%d is below 1", cold)
	}
	if warm < cold {
		val.report(path+".warm_limit", "%d is below the cold limit %d", warm, cold)
	}
}
