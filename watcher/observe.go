package watcher

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/reducer"
)

// Observe gathers what the responsible entries say of every VM; times are when this entry learned of them.
func (wat *Watcher) Observe(vie *reducer.View) map[string]planner.Observation {
	now := wat.opt.Clock.Now()
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	out := make(map[string]planner.Observation, len(vie.Catalog.Inventory.VMs))
	for vm := range vie.Catalog.Inventory.VMs {
		inc := Responsible(vie, vm)
		body, told := wat.opt.Facts.Get(subjectVM+vm, inc)
		var sig Sight
		if !told || json.Unmarshal(body, &sig) != nil {
			continue
		}
		out[vm] = observation(wat.receive(vm, sig, now, wat.stands(inc, now)))
	}
	for vm := range wat.got {
		if _, known := vie.Catalog.Inventory.VMs[vm]; !known {
			delete(wat.got, vm)
		}
	}
	return out
}

// stands is since when the facts of an entry that still runs count as reported anew.
func (wat *Watcher) stands(inc string, now time.Time) time.Time {
	if heard := wat.opt.Facts.LastHeard(inc); inc != wat.opt.Self() && now.Sub(heard) > standsFor {
		return time.Time{}
	}
	return now.Truncate(standsFor)
}

func (wat *Watcher) receive(vm string, sig Sight, now, stands time.Time) received {
	old, known := wat.got[vm]
	rec := received{sight: sig, since: old.since, at: old.at}
	if !known || old.sight.Alive != sig.Alive {
		rec.since = now
	}
	if !known || old.sight != sig {
		rec.at = now
	}
	if stands.After(rec.at) {
		rec.at = stands
	}
	wat.got[vm] = rec
	return rec
}

func observation(rec received) planner.Observation {
	sig := rec.sight
	obs := planner.Observation{
		Health:           planner.HealthLive,
		HealthSince:      rec.since,
		ReportedAt:       rec.at,
		Group:            sig.Group,
		Fence:            sig.Fence,
		Model:            sig.Model,
		Version:          sig.Version,
		State:            sig.State,
		Reason:           sig.Reason,
		Warm:             sig.Warm,
		Running:          sig.Running,
		StepTime:         time.Duration(sig.StepMS * float64(time.Millisecond)),
		Started:          sig.Started,
		PreloadedWeights: strings.Fields(sig.Weights),
	}
	if !sig.Alive {
		obs.Health = planner.HealthDead
	}
	return obs
}
