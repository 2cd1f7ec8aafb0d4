package planner

import "time"

// measureQueue takes the larger of the store's own queue and the transfers that live VMs still have to make.
func (rnd *round) measureQueue() {
	missing := 0.0
	for _, uni := range rnd.units {
		if uni.gone || uni.zoneOut {
			continue
		}
		for _, name := range uni.VMs {
			missing += rnd.missing(name, uni.Model, uni.Version)
		}
	}
	for _, name := range rnd.vms {
		obs := rnd.obs.VMs[name]
		if rnd.vie.Owners[name] == "" && obs.State == StateLoading {
			missing += share(rnd.inv.Models[obs.Model])
		}
	}
	for _, pen := range rnd.mem.pending {
		for _, name := range pen.vms {
			missing += rnd.missing(name, pen.model, rnd.inv.Models[pen.model].Version)
		}
	}
	rnd.queued = max(rnd.obs.Store.QueuedGigabytes, missing)
}

func (rnd *round) missing(vm, model, version string) float64 {
	obs := rnd.obs.VMs[vm]
	if obs.Health != HealthLive || rnd.mem.avoided[vm].failed || obs.holds(model, version) {
		return 0
	}
	return share(rnd.inv.Models[model])
}

// queueRoom reports whether the store's queue is short enough for further transfers.
func (rnd *round) queueRoom(ahead float64) bool {
	return rnd.queued == 0 || rnd.queued < ahead*rnd.opt.LoadAhead.Seconds()*rnd.obs.Store.GigabytesPerSecond
}

const (
	aheadForNew    = 1.0
	aheadForRepair = 2.0
)

func (rnd *round) enqueue(model string, vms []string) {
	for _, name := range vms {
		rnd.queued += rnd.missing(name, model, rnd.inv.Models[model].Version)
	}
}

// queueTime returns how long the store needs for its queue, or nothing when its rate is not known.
func (rnd *round) queueTime() time.Duration {
	rate := rnd.obs.Store.GigabytesPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(rnd.queued / rate * float64(time.Second))
}
