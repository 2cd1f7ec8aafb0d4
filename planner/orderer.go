package planner

// sendOrders repeats orders until the engines report the groups that the view assigns to them.
func (rnd *round) sendOrders() {
	for _, grp := range rnd.groups {
		if !grp.stopping && !grp.Quiesced {
			rnd.orderGroup(grp)
		}
	}
	for _, name := range rnd.vms {
		if rnd.free(name) {
			rnd.unloadStale(name)
		}
	}
}

func (rnd *round) orderGroup(grp *groupState) {
	for rank, name := range grp.VMs {
		obs := rnd.obs.VMs[name]
		if obs.Health == HealthDead || obs.Health == HealthUnknown {
			delete(rnd.mem.attempts, name)
			continue
		}
		if obs.reportsGroup(grp.Group) && (obs.State == StateReady || obs.State == StateLoading) {
			rnd.orderAccepted(grp, name, obs)
			continue
		}
		if grp.zoneOut && rnd.queuedGigabytes > 0 && !obs.holds(grp.Model, grp.Version) {
			continue
		}
		if rnd.beginAttempt(name, grp.Name, grp.Fence) {
			rnd.checkAttempts(name, obs)
			rnd.sendLoad(grp, rank)
		}
	}
}

// orderAccepted handles a member that is loading or ready: it limits the load time, or clears the failed attempts once ready.
func (rnd *round) orderAccepted(grp *groupState, vm string, obs Observation) {
	if obs.State != StateReady {
		rnd.checkLoadDeadline(vm, grp.Name, grp.Fence)
		return
	}
	delete(rnd.mem.attempts, vm)
	if rnd.mem.avoided[vm].failed {
		delete(rnd.mem.avoided, vm)
	}
}

func (rnd *round) sendLoad(grp *groupState, rank int) {
	mod := rnd.inv.Models[grp.Model]
	name := grp.VMs[rank]
	ord := &LoadOrder{
		VM: name, Address: rnd.inv.VMs[name].Address, Group: grp.Name, Fence: grp.Fence,
		Model: grp.Model, Version: grp.Version, Adapters: mod.Adapters, WeightsGigabytes: gigabytesPerVM(mod), Rank: rank,
	}
	for _, member := range grp.VMs {
		ord.Members = append(ord.Members, Member{VM: member, Address: rnd.inv.VMs[member].Address})
	}
	rnd.actions = append(rnd.actions, Action{Load: ord})
}

// unloadStale orders a VM outside any group to drop the group that it still reports.
func (rnd *round) unloadStale(vm string) {
	obs := rnd.obs.VMs[vm]
	if obs.Group == "" || obs.Health == HealthDead || obs.Health == HealthUnknown {
		return
	}
	if rnd.beginAttempt(vm, "unload/"+obs.Group, 0) {
		rnd.actions = append(rnd.actions, Action{Unload: &UnloadOrder{
			VM: vm, Address: rnd.inv.VMs[vm].Address, Group: obs.Group, Fence: rnd.vie.Offset,
		}})
	}
}
