package planner

import (
	"cmp"
	"fmt"
	"slices"
)

// demand describes how many groups a model lacks and the keys that order models.
type demand struct {
	model    string
	missing  int
	serving  int
	cost     float64
	priority int
}

// formGroups proposes the missing groups while capacity and the queue of the weight store allow, in the order of demand.compare.
func (rnd *round) formGroups() {
	skipped := map[string]bool{}
	for {
		dem, found := rnd.mostUrgent(skipped)
		if !found {
			return
		}
		if !rnd.queueHasRoom(newGroupQueueFactor) {
			rnd.setReason(dem.model, fmt.Sprintf("%d groups missing, the weight store is busy", dem.missing))
			skipped[dem.model] = true
			continue
		}
		if !rnd.formGroup(dem.model, "wanted") {
			rnd.setReason(dem.model, fmt.Sprintf("%d groups missing, no room in one fabric domain", dem.missing))
			skipped[dem.model] = true
		}
	}
}

func (rnd *round) formGroup(model, reason string) bool {
	plc, err := rnd.place(model)
	if err != nil {
		return false
	}
	rnd.enqueue(model, plc.VMs)
	rnd.proposeForm(rnd.newForm(model, plc.VMs, "", reason))
	return true
}

func (rnd *round) mostUrgent(skipped map[string]bool) (demand, bool) {
	var dems []demand
	for _, model := range rnd.models {
		if dem := rnd.demandOf(model); dem.missing > 0 && !skipped[model] {
			dems = append(dems, dem)
		}
	}
	if len(dems) == 0 {
		return demand{}, false
	}
	return slices.MinFunc(dems, demand.compare), true
}

func (rnd *round) demandOf(model string) demand {
	mod := rnd.inv.Models[model]
	quota := rnd.quota(model)
	return demand{
		model:    model,
		missing:  quota - rnd.activeGroups(model, nil),
		serving:  rnd.servingGroups(model, nil) + len(rnd.proposedZones[model]),
		cost:     mod.WeightsGigabytes * float64(quota),
		priority: rnd.priority(model),
	}
}

// compare orders models without a serving group first, then by the weights of all groups wanted, smallest first,
// so that a transfer buys the most service, then by priority and name.
func (dem demand) compare(other demand) int {
	if none := dem.serving == 0; none != (other.serving == 0) {
		if none {
			return -1
		}
		return 1
	}
	if dif := cmp.Compare(dem.cost, other.cost); dif != 0 {
		return dif
	}
	if dif := cmp.Compare(other.priority, dem.priority); dif != 0 {
		return dif
	}
	return cmp.Compare(dem.model, other.model)
}

// priority returns the highest priority of the workspaces that use a model.
func (rnd *round) priority(model string) int {
	highest := 0
	for name, spec := range rnd.inv.Workspaces {
		if slices.Contains(spec.Models, model) {
			highest = max(highest, rnd.vie.Catalog.Rules.Workspaces[name].Priority)
		}
	}
	return highest
}
