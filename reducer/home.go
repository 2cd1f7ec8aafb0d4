package reducer

import (
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
)

// Home is the assignment of one unit (a replica group or a service VM) to the only entry that admits requests to it, since the log offset SinceOffset.
// Former are the incarnations of earlier homes, newest last, that may not know of the reassignment yet and still admit requests.
type Home struct {
	Incarnation string   `json:"incarnation"`
	SinceOffset int64    `json:"since"`
	Former      []string `json:"former,omitempty"`
}

// assignHomes recomputes the home of every unit after a change of members, groups or catalog.
func (sta *State) assignHomes() {
	homes := make(map[string]Home, len(sta.Homes))
	for unit, zone := range sta.zoneOfUnits() {
		region := sta.Catalog.Inventory.Zones[zone].Region
		mem, found := sta.duties.pick("home/"+unit, zone, region)
		old := sta.Homes[unit]
		if !found {
			homes[unit] = old
			continue
		}
		homes[unit] = sta.moveHome(old, mem.Incarnation)
	}
	sta.Homes = homes
}

func (sta *State) moveHome(old Home, inc string) Home {
	former := slices.DeleteFunc(slices.Clone(old.Former), sta.confirmedStopped)
	if old.Incarnation == inc {
		return Home{Incarnation: inc, SinceOffset: old.SinceOffset, Former: former}
	}
	if old.Incarnation != "" && !sta.confirmedStopped(old.Incarnation) {
		former = append(former, old.Incarnation)
	}
	former = slices.DeleteFunc(former, func(one string) bool { return one == inc })
	return Home{Incarnation: inc, SinceOffset: sta.Offset, Former: former}
}

// confirmedStopped reports whether an incarnation can no longer admit requests: it left by itself,
// another incarnation has joined under its name, or its departure is too old to be retained.
func (sta *State) confirmedStopped(inc string) bool {
	if _, live := sta.Members[inc]; live {
		return false
	}
	dep, known := sta.Departed[inc]
	if !known || !dep.Evicted {
		return true
	}
	_, taken := sta.duties.byName[dep.Name]
	return taken
}

func (sta *State) zoneOfUnits() map[string]string {
	units := make(map[string]string, len(sta.Groups))
	for name, grp := range sta.Groups {
		units[name] = grp.Zone
	}
	for name, vm := range sta.Catalog.Inventory.VMs {
		if vm.WorkerKind == cataloger.WorkerService {
			units[name] = vm.Zone
		}
	}
	return units
}
