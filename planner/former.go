package planner

import (
	"cmp"
	"fmt"
	"slices"
)

// demand is a model that has fewer groups than wanted.
type demand struct {
	model    string
	missing  int
	serving  int
	cost     float64
	priority int
}

// form proposes new groups, the one that returns most service for its transfer first.
func (rnd *round) form() {
	full := map[string]bool{}
	for {
		dem, found := rnd.mostUrgent(full)
		if !found {
			return
		}
		if !rnd.queueRoom(aheadForNew) {
			rnd.reason(dem.model, fmt.Sprintf("%d groups missing, the weight store is busy", dem.missing))
			full[dem.model] = true
			continue
		}
		if !rnd.formOne(dem.model, "wanted") {
			rnd.reason(dem.model, fmt.Sprintf("%d groups missing, no room in one fabric domain", dem.missing))
			full[dem.model] = true
		}
	}
}

func (rnd *round) formOne(model, why string) bool {
	plc, err := rnd.place(model)
	if err != nil {
		return false
	}
	rnd.enqueue(model, plc.VMs)
	rnd.proposeForm(rnd.formOf(model, plc.VMs, "", why))
	return true
}

func (rnd *round) mostUrgent(full map[string]bool) (demand, bool) {
	var dems []demand
	for _, model := range rnd.models {
		if dem := rnd.demandOf(model); dem.missing > 0 && !full[model] {
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
		serving:  rnd.servingGroups(model, nil) + len(rnd.formed[model]),
		cost:     mod.WeightsGigabytes * float64(quota),
		priority: rnd.priority(model),
	}
}

func (dem demand) compare(two demand) int {
	if none := dem.serving == 0; none != (two.serving == 0) {
		if none {
			return -1
		}
		return 1
	}
	if dif := cmp.Compare(dem.cost, two.cost); dif != 0 {
		return dif
	}
	if dif := cmp.Compare(two.priority, dem.priority); dif != 0 {
		return dif
	}
	return cmp.Compare(dem.model, two.model)
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
