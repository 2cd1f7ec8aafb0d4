package planner

// order repeats orders until the engines show what the fold holds.
func (rnd *round) order() {
	for _, uni := range rnd.units {
		if !uni.gone && !uni.Quiesced {
			rnd.orderUnit(uni)
		}
	}
	for _, name := range rnd.vms {
		if rnd.free(name) {
			rnd.orderFree(name)
		}
	}
}

func (rnd *round) orderUnit(uni *unit) {
	for rank, name := range uni.VMs {
		obs := rnd.obs.VMs[name]
		if obs.Health == HealthDead || obs.Health == HealthUnknown {
			delete(rnd.mem.orders, name)
			continue
		}
		if obs.shows(uni.Group) && (obs.State == StateReady || obs.State == StateLoading) {
			rnd.accepted(uni, name, obs)
			continue
		}
		if uni.zoneOut && rnd.queued > 0 && !obs.holds(uni.Model, uni.Version) {
			continue
		}
		if rnd.due(name, uni.Name, uni.Fence) {
			rnd.countAttempt(name, obs)
			rnd.load(uni, rank)
		}
	}
}

func (rnd *round) accepted(uni *unit, vm string, obs Observation) {
	if obs.State != StateReady {
		rnd.watchLoad(vm, uni.Name, uni.Fence)
		return
	}
	delete(rnd.mem.orders, vm)
	if rnd.mem.avoided[vm].failed {
		delete(rnd.mem.avoided, vm)
	}
}

func (rnd *round) load(uni *unit, rank int) {
	mod := rnd.inv.Models[uni.Model]
	name := uni.VMs[rank]
	ord := &LoadOrder{
		VM: name, Address: rnd.inv.VMs[name].Address, Group: uni.Name, Fence: uni.Fence,
		Model: uni.Model, Version: uni.Version, Adapters: mod.Adapters, WeightsGigabytes: share(mod), Rank: rank,
	}
	for _, mem := range uni.VMs {
		ord.Members = append(ord.Members, Member{VM: mem, Address: rnd.inv.VMs[mem].Address})
	}
	rnd.actions = append(rnd.actions, Action{Load: ord})
}

func (rnd *round) orderFree(vm string) {
	obs := rnd.obs.VMs[vm]
	if obs.Group == "" || obs.Health == HealthDead || obs.Health == HealthUnknown {
		return
	}
	if rnd.due(vm, "unload/"+obs.Group, 0) {
		rnd.actions = append(rnd.actions, Action{Unload: &UnloadOrder{
			VM: vm, Address: rnd.inv.VMs[vm].Address, Group: obs.Group, Fence: rnd.vie.Offset,
		}})
	}
}
