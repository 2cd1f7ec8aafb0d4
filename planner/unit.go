package planner

import (
	"slices"

	"github.com/lovagelever/lovagelever/reducer"
)

// unit is a group with what this round knows of it.
type unit struct {
	reducer.Group
	zoneOut   bool
	dark      bool
	serving   bool
	unknown   bool
	staging   bool
	doubted   []string
	lost      []string
	bad       []string
	pending   bool
	gone      bool
	doomed    bool
	reforming bool
	stuck     bool
}

func (rnd *round) newUnit(grp reducer.Group) *unit {
	uni := &unit{Group: grp, zoneOut: rnd.vie.Catalog.Rules.ZoneOut(grp.Zone), dark: rnd.dark[grp.Domain]}
	if pen, waits := rnd.mem.pending[grp.Name]; waits {
		uni.pending = true
		uni.gone = pen.kind != pendingQuiesce
		uni.Quiesced = uni.Quiesced || pen.kind == pendingQuiesce
	}
	ready := 0
	for _, name := range grp.VMs {
		obs := rnd.obs.VMs[name]
		switch {
		case rnd.lost(name):
			uni.lost = append(uni.lost, name)
		case obs.Health == HealthDead:
			uni.doubted = append(uni.doubted, name)
		case obs.Health != HealthLive:
			uni.unknown = true
		case rnd.straying(name):
			uni.bad = append(uni.bad, name)
		}
		if obs.Health == HealthLive && obs.shows(grp) && obs.State == StateReady {
			ready++
		}
	}
	uni.serving = ready == len(grp.VMs) && !uni.zoneOut
	return uni
}

// unsettled reports that a member is in doubt.
func (uni *unit) unsettled() bool {
	return uni.unknown || len(uni.doubted) > 0
}

func (obs Observation) shows(grp reducer.Group) bool {
	return obs.Group == grp.Name && obs.Fence == grp.Fence
}

func (obs Observation) holds(model, version string) bool {
	if obs.State == StateReady && obs.Model == model && obs.Version == version {
		return true
	}
	return slices.Contains(obs.Weights, model+"@"+version)
}

// lost reports that a VM is dead beyond the grace, or that its loads kept failing.
func (rnd *round) lost(vm string) bool {
	obs := rnd.obs.VMs[vm]
	if obs.Health == HealthDead {
		return rnd.now.Sub(obs.Since) >= rnd.opt.Grace
	}
	return rnd.mem.avoided[vm].failed && !rnd.serves(vm)
}

// serves reports that a VM is ready in the group that the fold gives it.
func (rnd *round) serves(vm string) bool {
	obs := rnd.obs.VMs[vm]
	return obs.State == StateReady && obs.shows(rnd.vie.Groups[rnd.vie.Owners[vm]])
}

// straying reports that a VM serves but should be replaced.
func (rnd *round) straying(vm string) bool {
	return rnd.obs.VMs[vm].Leaving || rnd.straggles(vm)
}

// active reports that a group counts towards the wanted number of its model.
func (uni *unit) active() bool {
	if uni.gone || uni.doomed || uni.zoneOut || uni.dark {
		return false
	}
	return !uni.Quiesced || uni.reforming
}

func (rnd *round) activeGroups(model string, without *unit) int {
	num := len(rnd.formed[model])
	for _, uni := range rnd.byModel[model] {
		if uni != without && uni.active() {
			num++
		}
	}
	return num
}

func (rnd *round) servingGroups(model string, without *unit) int {
	num := 0
	for _, uni := range rnd.byModel[model] {
		if uni != without && uni.serving && !uni.Quiesced && !uni.gone {
			num++
		}
	}
	return num
}

func (rnd *round) quiescing(model string) bool {
	for _, uni := range rnd.byModel[model] {
		if (uni.Quiesced || uni.gone) && !uni.dark {
			return true
		}
	}
	return false
}
