package planner

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

type round struct {
	pla     *Planner
	opt     Options
	now     time.Time
	vie     *reducer.View
	inv     cataloger.Inventory
	obs     Observations
	mem     *Memory
	needs   []placer.Need
	vms     []string
	dark    map[string]bool
	taken   map[string]bool
	units   []*unit
	models  []string
	byModel map[string][]*unit
	formed  map[string][]string
	queued  float64
	quotas  map[string]int
	named   int
	actions []Action
}

func newRound(pla *Planner, now time.Time, vie *reducer.View, obs Observations, mem *Memory) *round {
	rnd := &round{
		pla: pla, opt: pla.Options, now: now, vie: vie, inv: vie.Catalog.Inventory, obs: obs, mem: mem,
		needs:   placer.Needs(vie.Catalog.Inventory.Models),
		dark:    map[string]bool{},
		taken:   map[string]bool{},
		byModel: map[string][]*unit{},
		formed:  map[string][]string{},
		quotas:  map[string]int{},
	}
	for name, vm := range rnd.inv.VMs {
		if vm.Worker == cataloger.WorkerEngine && rnd.inv.Zones[vm.Zone].Region == pla.Region {
			rnd.vms = append(rnd.vms, name)
		}
	}
	slices.Sort(rnd.vms)
	for name := range rnd.inv.Models {
		rnd.models = append(rnd.models, name)
	}
	slices.Sort(rnd.models)
	return rnd
}

func (rnd *round) survey() {
	rnd.findDark()
	for _, grp := range rnd.vie.Groups {
		if grp.Region == rnd.pla.Region {
			rnd.units = append(rnd.units, rnd.newUnit(grp))
		}
	}
	slices.SortFunc(rnd.units, func(one, two *unit) int { return strings.Compare(one.Name, two.Name) })
	for _, uni := range rnd.units {
		rnd.byModel[uni.Model] = append(rnd.byModel[uni.Model], uni)
	}
	rnd.reservePending()
	rnd.suspect()
	rnd.measureQueue()
}

// findDark marks the fabric domains of which no VM answers and at least one is dead.
func (rnd *round) findDark() {
	size, dead, silent := map[string]int{}, map[string]int{}, map[string]int{}
	for _, name := range rnd.vms {
		dom := rnd.inv.VMs[name].Domain
		size[dom]++
		switch rnd.obs.VMs[name].Health {
		case HealthDead:
			dead[dom]++
			silent[dom]++
		case HealthSuspect:
			silent[dom]++
		}
	}
	for dom, num := range size {
		rnd.dark[dom] = num > 1 && silent[dom] == num && dead[dom] > 0
	}
}

func (rnd *round) reservePending() {
	for _, pen := range rnd.mem.pending {
		if pen.kind != pendingForm {
			continue
		}
		for _, vm := range pen.vms {
			rnd.taken[vm] = true
		}
		rnd.formed[pen.model] = append(rnd.formed[pen.model], pen.zone)
	}
}

func (rnd *round) proposeForm(frm recorder.Form) {
	zone := rnd.inv.VMs[frm.VMs[0]].Zone
	subject := frm.Group
	if frm.Replaces != "" {
		subject = frm.Replaces
	}
	rnd.mem.pending[subject] = pending{
		until: rnd.now.Add(rnd.opt.PendingFor), kind: pendingForm,
		group: frm.Group, model: frm.Model, zone: zone, vms: frm.VMs,
	}
	for _, vm := range frm.VMs {
		rnd.taken[vm] = true
	}
	rnd.formed[frm.Model] = append(rnd.formed[frm.Model], zone)
	rnd.actions = append(rnd.actions, Action{Form: &frm})
}

func (rnd *round) proposeQuiesce(uni *unit, renew bool, why string) {
	uni.Quiesced = true
	uni.reforming = renew
	uni.pending = true
	rnd.mem.pending[uni.Name] = pending{until: rnd.now.Add(rnd.opt.PendingFor), kind: pendingQuiesce, group: uni.Name}
	rnd.actions = append(rnd.actions, Action{Quiesce: &recorder.Quiesce{Group: uni.Name, Reason: why}})
}

func (rnd *round) proposeRetire(uni *unit, why string) {
	uni.pending = true
	uni.gone = true
	rnd.mem.pending[uni.Name] = pending{until: rnd.now.Add(rnd.opt.PendingFor), kind: pendingRetire, group: uni.Name}
	rnd.actions = append(rnd.actions, Action{Retire: &recorder.Retire{Group: uni.Name, Reason: why}})
}

func (rnd *round) reason(subject, why string) {
	rnd.mem.reasons[subject] = why
}

func (rnd *round) waits(uni *unit, why string) {
	rnd.reason(uni.Model+"/"+uni.Name, why)
}
