package cataloger

func (val *validator) checkModels() {
	largest := map[int]int{}
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
		size, counted := largest[mod.AcceleratorsEach]
		if !counted {
			size = val.largestDomain(mod.AcceleratorsEach)
			largest[mod.AcceleratorsEach] = size
		}
		if mod.VMsPerReplica > size {
			val.report(path+".vms_per_replica", "no fabric domain holds %d VMs with %d accelerators, the largest holds %d", mod.VMsPerReplica, mod.AcceleratorsEach, size)
		}
	}
}

// largestDomain counts the engine VMs with enough accelerators in the fabric domain that has most of them.
func (val *validator) largestDomain(accelerators int) int {
	counts := map[string]int{}
	most := 0
	for _, vm := range val.cat.Inventory.VMs {
		if vm.Worker != WorkerEngine || vm.Domain == "" || vm.Accelerators < accelerators {
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
