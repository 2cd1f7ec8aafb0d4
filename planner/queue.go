package planner

import "time"

// measureQueue sets the queue to the larger of what the weight store reports and the transfers that live VMs still need.
func (rnd *round) measureQueue() {
	missing := 0.0
	for _, grp := range rnd.groups {
		if grp.stopping || grp.zoneOut {
			continue
		}
		for _, name := range grp.VMs {
			missing += rnd.missingGigabytes(name, grp.Model, grp.Version)
		}
	}
	for _, name := range rnd.vms {
		obs := rnd.obs.VMs[name]
		if rnd.vie.GroupByVM[name] == "" && obs.State == StateLoading {
			missing += gigabytesPerVM(rnd.inv.Models[obs.Model])
		}
	}
	for _, pen := range rnd.mem.pending {
		for _, name := range pen.vms {
			missing += rnd.missingGigabytes(name, pen.model, rnd.inv.Models[pen.model].Version)
		}
	}
	rnd.queuedGigabytes = max(rnd.obs.Store.QueuedGigabytes, missing)
}

// missingGigabytes returns what a VM still has to load of a model; it is 0 for VMs that are not live or fail their loads.
func (rnd *round) missingGigabytes(vm, model, version string) float64 {
	obs := rnd.obs.VMs[vm]
	if obs.Health != HealthLive || rnd.mem.avoided[vm].failed || obs.holds(model, version) {
		return 0
	}
	return gigabytesPerVM(rnd.inv.Models[model])
}

// queueHasRoom reports whether the queue of the weight store is shorter than factor times MaxQueueTime.
func (rnd *round) queueHasRoom(factor float64) bool {
	return rnd.queuedGigabytes == 0 || rnd.queuedGigabytes < factor*rnd.opt.MaxQueueTime.Seconds()*rnd.obs.Store.GigabytesPerSecond
}

// Multiples of MaxQueueTime that the queue of the weight store may reach.
const (
	newGroupQueueFactor = 1.0
	repairQueueFactor   = 2.0
)

// enqueue adds the transfers that these VMs need for a model to the queue.
func (rnd *round) enqueue(model string, vms []string) {
	for _, name := range vms {
		rnd.queuedGigabytes += rnd.missingGigabytes(name, model, rnd.inv.Models[model].Version)
	}
}

// queueTime returns how long the weight store needs for its queue, or 0 when its rate is unknown.
func (rnd *round) queueTime() time.Duration {
	rate := rnd.obs.Store.GigabytesPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(rnd.queuedGigabytes / rate * float64(time.Second))
}
