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

// round holds the inputs, working state and actions of one planning round.
type round struct {
	pla             *Planner
	opt             Options
	now             time.Time
	vie             *reducer.View
	inv             cataloger.Inventory
	obs             Observations
	mem             *Memory
	needs           []placer.GroupShape
	vms             []string        // engine VMs of the region, sorted
	downDomains     map[string]bool // by fabric domain
	reserved        map[string]bool // VMs that this round or a pending record takes
	groups          []*groupState
	models          []string
	byModel         map[string][]*groupState
	proposedZones   map[string][]string // by model, the availability zone of each proposed group
	queuedGigabytes float64             // gigabytes waiting for transfer from the weight store
	quotas          map[string]int      // cache of quota, by model
	groupSeq        int                 // numbers the groups that this round proposes
	actions         []Action
}

func newRound(pla *Planner, now time.Time, vie *reducer.View, obs Observations, mem *Memory) *round {
	rnd := &round{
		pla: pla, opt: pla.Options, now: now, vie: vie, inv: vie.Catalog.Inventory, obs: obs, mem: mem,
		needs:         placer.GroupShapes(vie.Catalog.Inventory.Models),
		downDomains:   map[string]bool{},
		reserved:      map[string]bool{},
		byModel:       map[string][]*groupState{},
		proposedZones: map[string][]string{},
		quotas:        map[string]int{},
	}
	for name, vm := range rnd.inv.VMs {
		if vm.WorkerKind == cataloger.WorkerEngine && rnd.inv.Zones[vm.Zone].Region == pla.Region {
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

// assess builds the state of the groups that the later steps of the round decide on.
func (rnd *round) assess() {
	rnd.findDownDomains()
	for _, grp := range rnd.vie.Groups {
		if grp.Region == rnd.pla.Region {
			rnd.groups = append(rnd.groups, rnd.newGroupState(grp))
		}
	}
	slices.SortFunc(rnd.groups, func(one, two *groupState) int { return strings.Compare(one.Name, two.Name) })
	for _, grp := range rnd.groups {
		rnd.byModel[grp.Model] = append(rnd.byModel[grp.Model], grp)
	}
	rnd.reservePending()
	rnd.detectStragglers()
	rnd.measureQueue()
}

// findDownDomains marks the fabric domains of several VMs in which every VM is dead or suspect and at least one is dead.
func (rnd *round) findDownDomains() {
	size, dead, unreachable := map[string]int{}, map[string]int{}, map[string]int{}
	for _, name := range rnd.vms {
		dom := rnd.inv.VMs[name].Domain
		size[dom]++
		switch rnd.obs.VMs[name].Health {
		case HealthDead:
			dead[dom]++
			unreachable[dom]++
		case HealthSuspect:
			unreachable[dom]++
		}
	}
	for dom, num := range size {
		rnd.downDomains[dom] = num > 1 && unreachable[dom] == num && dead[dom] > 0
	}
}

// reservePending reserves the VMs of the proposed groups that are not in the view yet, and counts these groups.
func (rnd *round) reservePending() {
	for _, pen := range rnd.mem.pending {
		if pen.kind != pendingForm {
			continue
		}
		for _, vm := range pen.vms {
			rnd.reserved[vm] = true
		}
		rnd.proposedZones[pen.model] = append(rnd.proposedZones[pen.model], pen.zone)
	}
}

// proposeForm proposes a group and remembers it as pending under the name of the group that it replaces, if any.
func (rnd *round) proposeForm(frm recorder.FormGroup) {
	zone := rnd.inv.VMs[frm.VMs[0]].Zone
	subject := frm.Group
	if frm.Replaces != "" {
		subject = frm.Replaces
	}
	rnd.mem.pending[subject] = pendingRecord{
		until: rnd.now.Add(rnd.opt.PendingTimeout), kind: pendingForm,
		group: frm.Group, model: frm.Model, zone: zone, vms: frm.VMs,
	}
	for _, vm := range frm.VMs {
		rnd.reserved[vm] = true
	}
	rnd.proposedZones[frm.Model] = append(rnd.proposedZones[frm.Model], zone)
	rnd.actions = append(rnd.actions, Action{Form: &frm})
}

func (rnd *round) proposeQuiesce(grp *groupState, reform bool, reason string) {
	grp.Quiesced = true
	grp.reforming = reform
	grp.pending = true
	rnd.mem.pending[grp.Name] = pendingRecord{until: rnd.now.Add(rnd.opt.PendingTimeout), kind: pendingQuiesce, group: grp.Name}
	rnd.actions = append(rnd.actions, Action{Quiesce: &recorder.QuiesceGroup{Group: grp.Name, Reason: reason}})
}

func (rnd *round) proposeRetire(grp *groupState, reason string) {
	grp.pending = true
	grp.stopping = true
	rnd.mem.pending[grp.Name] = pendingRecord{until: rnd.now.Add(rnd.opt.PendingTimeout), kind: pendingRetire, group: grp.Name}
	rnd.actions = append(rnd.actions, Action{Retire: &recorder.RetireGroup{Group: grp.Name, Reason: reason}})
}

func (rnd *round) setReason(subject, reason string) {
	rnd.mem.reasons[subject] = reason
}

func (rnd *round) setWaitReason(grp *groupState, reason string) {
	rnd.setReason(grp.Model+"/"+grp.Name, reason)
}
