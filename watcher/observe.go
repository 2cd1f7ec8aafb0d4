package watcher

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/reducer"
)

// Observe collects the status of every VM that the responsible entries published; times are when this entry learned of a status.
func (wat *Watcher) Observe(vie *reducer.View) map[string]planner.Observation {
	now := wat.opt.Clock.Now()
	wat.mtx.Lock()
	defer wat.mtx.Unlock()
	out := make(map[string]planner.Observation, len(vie.Catalog.Inventory.VMs))
	for vm := range vie.Catalog.Inventory.VMs {
		inc := Responsible(vie, vm)
		body, found := wat.opt.Facts.Get(vmSubjectPrefix+vm, inc)
		var vst VMStatus
		if !found || json.Unmarshal(body, &vst) != nil {
			continue
		}
		out[vm] = observation(wat.updateRecord(vm, vst, now, wat.refreshedAt(inc, now)))
	}
	for vm := range wat.records {
		if _, known := vie.Catalog.Inventory.VMs[vm]; !known {
			delete(wat.records, vm)
		}
	}
	return out
}

// refreshedAt returns the time at which the facts of an entry that is still running last counted as reported again; it is zero if the entry has not been heard from for unchangedReportInterval.
func (wat *Watcher) refreshedAt(inc string, now time.Time) time.Time {
	if lastHeard := wat.opt.Facts.LastHeard(inc); inc != wat.opt.Self() && now.Sub(lastHeard) > unchangedReportInterval {
		return time.Time{}
	}
	return now.Truncate(unchangedReportInterval)
}

func (wat *Watcher) updateRecord(vm string, vst VMStatus, now, refreshed time.Time) vmRecord {
	old, known := wat.records[vm]
	rec := vmRecord{status: vst, healthSince: old.healthSince, reportedAt: old.reportedAt}
	if !known || old.status.Alive != vst.Alive {
		rec.healthSince = now
	}
	if !known || old.status != vst {
		rec.reportedAt = now
	}
	if refreshed.After(rec.reportedAt) {
		rec.reportedAt = refreshed
	}
	wat.records[vm] = rec
	return rec
}

func observation(rec vmRecord) planner.Observation {
	vst := rec.status
	obs := planner.Observation{
		Health:           planner.HealthLive,
		HealthSince:      rec.healthSince,
		ReportedAt:       rec.reportedAt,
		Group:            vst.Group,
		Fence:            vst.Fence,
		Model:            vst.Model,
		Version:          vst.Version,
		State:            vst.State,
		Reason:           vst.Reason,
		Warm:             vst.Warm,
		Running:          vst.Running,
		StepTime:         time.Duration(vst.StepMS * float64(time.Millisecond)),
		Started:          vst.Started,
		PreloadedWeights: strings.Fields(vst.Weights),
	}
	if !vst.Alive {
		obs.Health = planner.HealthDead
	}
	return obs
}
