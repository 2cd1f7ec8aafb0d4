package watcher

import (
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/reducer"
)

// Stage is the serving state of a unit.
type Stage string

// The stages of a unit.
const (
	StageLoading  Stage = "loading"
	StageServing  Stage = "serving"
	StageQuiesced Stage = "quiesced"
	StageBroken   Stage = "broken"
	StageZoneOut  Stage = "zone_out"
	StageGone     Stage = "gone"
	// StageTakeover is reported for a unit that could serve by a home that waits for a former home or is not fresh.
	StageTakeover Stage = "takeover"
)

// Stage returns the stage of a unit that has its home at this entry, and the reason if it does not serve; a group serves only while every member has recently reported the same group and fence.
func (wat *Watcher) Stage(vie *reducer.View, unit string) (Stage, string) {
	grp, grouped := vie.Groups[unit]
	if !grouped {
		return wat.serviceStage(vie, unit)
	}
	switch {
	case grp.Quiesced:
		return StageQuiesced, "no new work"
	case vie.Catalog.Rules.ZoneDisabled(grp.Zone):
		return StageZoneOut, "availability zone " + grp.Zone + " is out"
	}
	for _, vm := range grp.VMs {
		if _, leaving := wat.opt.Leaving(vm); leaving {
			return StageQuiesced, "VM " + vm + " is leaving"
		}
	}
	now := wat.opt.Clock.Now()
	for _, vm := range grp.VMs {
		pro, known := wat.pro.Get(vm)
		if sta, reason := wat.memberStage(grp, vm, pro, known, now); sta != StageServing {
			return sta, reason
		}
	}
	return StageServing, ""
}

func (wat *Watcher) memberStage(grp reducer.Group, vm string, pro prober.Probe, known bool, now time.Time) (Stage, string) {
	sta := pro.Status
	switch {
	case !known:
		return StageLoading, "VM " + vm + " has not been probed yet"
	case !pro.FailingSince.IsZero() || !wat.Recent(pro, now):
		return StageBroken, "VM " + vm + " does not answer"
	case sta.Group != grp.Name || sta.Fence != grp.Fence:
		return StageLoading, "VM " + vm + " is not in the group"
	case sta.State != prober.Ready:
		return StageLoading, "VM " + vm + " is " + sta.State
	case sta.Model != grp.Model || sta.Version != grp.Version:
		return StageLoading, "VM " + vm + " has another model or version"
	default:
		return StageServing, ""
	}
}

func (wat *Watcher) serviceStage(vie *reducer.View, unit string) (Stage, string) {
	vm, known := vie.Catalog.Inventory.VMs[unit]
	if !known || vm.WorkerKind != cataloger.WorkerService {
		return StageGone, "not in the inventory"
	}
	if vie.Catalog.Rules.ZoneDisabled(vm.Zone) {
		return StageZoneOut, "availability zone " + vm.Zone + " is out"
	}
	if _, leaving := wat.opt.Leaving(unit); leaving {
		return StageQuiesced, "VM " + unit + " is leaving"
	}
	pro, probed := wat.pro.Get(unit)
	if !probed || !pro.FailingSince.IsZero() || !wat.Recent(pro, wat.opt.Clock.Now()) {
		return StageBroken, "VM " + unit + " does not answer"
	}
	if pro.Status.State != prober.Ready {
		return StageLoading, "VM " + unit + " is " + pro.Status.State
	}
	return StageServing, ""
}
