package cataloger

func (val *validator) checkVMs() {
	inv := val.cat.Inventory
	vmByAddress := map[string]string{}
	firstVMByDomain := map[string]VM{}
	for _, name := range sortedKeys(inv.VMs) {
		vm := inv.VMs[name]
		path := "inventory.vms." + name
		if _, known := inv.Zones[vm.Zone]; !known {
			val.report(path+".availability_zone", "unknown availability zone %q", vm.Zone)
		}
		if other, taken := vmByAddress[vm.Address]; taken && vm.Address != "" {
			val.report(path+".address", "%s is already the address of VM %q", vm.Address, other)
		}
		vmByAddress[vm.Address] = name
		val.checkWorker(path, vm)
		val.checkDomain(path, vm, firstVMByDomain)
	}
}

func (val *validator) checkWorker(path string, vm VM) {
	switch vm.WorkerKind {
	case WorkerEngine:
		val.checkEngine(path, vm)
	case WorkerService:
		if _, known := val.cat.Inventory.Services[vm.Service]; !known {
			val.report(path+".service", "unknown service %q", vm.Service)
		}
	default:
		val.report(path+".worker", "unknown kind of worker %q, use %q or %q", vm.WorkerKind, WorkerEngine, WorkerService)
	}
}

func (val *validator) checkEngine(path string, vm VM) {
	if vm.Domain == "" {
		val.report(path+".fabric_domain", "an engine needs a fabric domain")
	}
	if vm.Accelerators < 1 {
		val.report(path+".accelerators", "an engine needs at least 1 accelerator, got %d", vm.Accelerators)
	}
	if vm.Address == "" {
		val.report(path+".address", "an engine needs an address")
	}
}

func (val *validator) checkDomain(path string, vm VM, firstVMByDomain map[string]VM) {
	if vm.Domain == "" {
		return
	}
	val.checkName(path+".fabric_domain", vm.Domain)
	first, seen := firstVMByDomain[vm.Domain]
	if !seen {
		firstVMByDomain[vm.Domain] = vm
		return
	}
	if first.Zone != vm.Zone {
		val.report(path+".fabric_domain", "fabric domain %q spans availability zones %q and %q", vm.Domain, first.Zone, vm.Zone)
	}
}
