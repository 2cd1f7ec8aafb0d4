package cataloger

import (
	"reflect"
	"slices"
)

// MapChange is the difference between two maps of named items: the items to set and the names to remove.
type MapChange[T any] struct {
	Set    map[string]T `json:"set,omitempty"`
	Remove []string     `json:"remove,omitempty"`
}

// Change is the difference between two catalogs; a nil field means that the part is unchanged.
type Change struct {
	Deployment    *string                   `json:"deployment,omitempty"`
	Zones         *MapChange[Zone]          `json:"availability_zones,omitempty"`
	VMs           *MapChange[VM]            `json:"vms,omitempty"`
	Models        *MapChange[Model]         `json:"models,omitempty"`
	Services      *MapChange[Service]       `json:"services,omitempty"`
	Workspaces    *MapChange[WorkspaceSpec] `json:"workspaces,omitempty"`
	DisabledZones *[]string                 `json:"availability_zones_out,omitempty"`
	Rules         *MapChange[WorkspaceRule] `json:"rules,omitempty"`
}

// Diff returns the change that turns the first catalog into the second.
func Diff(from, to Catalog) Change {
	var chg Change
	if from.Inventory.Deployment != to.Inventory.Deployment {
		chg.Deployment = &to.Inventory.Deployment
	}
	chg.Zones = diffMap(from.Inventory.Zones, to.Inventory.Zones)
	chg.VMs = diffMap(from.Inventory.VMs, to.Inventory.VMs)
	chg.Models = diffMap(from.Inventory.Models, to.Inventory.Models)
	chg.Services = diffMap(from.Inventory.Services, to.Inventory.Services)
	chg.Workspaces = diffMap(from.Inventory.Workspaces, to.Inventory.Workspaces)
	chg.Rules = diffMap(from.Rules.Workspaces, to.Rules.Workspaces)
	if !slices.Equal(from.Rules.DisabledZones, to.Rules.DisabledZones) {
		out := append([]string{}, to.Rules.DisabledZones...)
		chg.DisabledZones = &out
	}
	return chg
}

// Apply returns a copy of the catalog with the change applied; the receiver is not modified.
func (cat Catalog) Apply(chg Change) Catalog {
	if chg.Deployment != nil {
		cat.Inventory.Deployment = *chg.Deployment
	}
	cat.Inventory.Zones = applyMap(cat.Inventory.Zones, chg.Zones)
	cat.Inventory.VMs = applyMap(cat.Inventory.VMs, chg.VMs)
	cat.Inventory.Models = applyMap(cat.Inventory.Models, chg.Models)
	cat.Inventory.Services = applyMap(cat.Inventory.Services, chg.Services)
	cat.Inventory.Workspaces = applyMap(cat.Inventory.Workspaces, chg.Workspaces)
	cat.Rules.Workspaces = applyMap(cat.Rules.Workspaces, chg.Rules)
	if chg.DisabledZones != nil {
		cat.Rules.DisabledZones = append([]string{}, *chg.DisabledZones...)
	}
	return cat
}

func diffMap[T any](from, to map[string]T) *MapChange[T] {
	chg := MapChange[T]{Set: map[string]T{}}
	for name, item := range to {
		old, existed := from[name]
		if !existed || !reflect.DeepEqual(old, item) {
			chg.Set[name] = item
		}
	}
	for name := range from {
		if _, kept := to[name]; !kept {
			chg.Remove = append(chg.Remove, name)
		}
	}
	if len(chg.Set) == 0 && len(chg.Remove) == 0 {
		return nil
	}
	slices.Sort(chg.Remove)
	return &chg
}

func applyMap[T any](items map[string]T, chg *MapChange[T]) map[string]T {
	if chg == nil {
		return items
	}
	out := make(map[string]T, len(items)+len(chg.Set))
	for name, item := range items {
		out[name] = item
	}
	for _, name := range chg.Remove {
		delete(out, name)
	}
	for name, item := range chg.Set {
		out[name] = item
	}
	return out
}
