package reducer

import (
	"slices"

	"github.com/lovagelever/lovagelever/cataloger"
)

// Home is the assignment of one unit, a replica group or a service VM, to the entry that alone admits requests to it.
// Former are earlier homes, newest last, that may still believe to be home.
type Home struct {
	Incarnation string   `json:"incarnation"`
	Since       int64    `json:"since"`
	Former      []string `json:"former,omitempty"`
}

// rehome assigns every unit anew after a change of members, groups or catalog.
func (sta *State) rehome() {
	homes := make(map[string]Home, len(sta.Homes))
	for unit, zone := range sta.units() {
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
	former := slices.DeleteFunc(slices.Clone(old.Former), sta.surelyGone)
	if old.Incarnation == inc {
		return Home{Incarnation: inc, Since: old.Since, Former: former}
	}
	if old.Incarnation != "" && !sta.surelyGone(old.Incarnation) {
		former = append(former, old.Incarnation)
	}
	former = slices.DeleteFunc(former, func(one string) bool { return one == inc })
	return Home{Incarnation: inc, Since: sta.Offset, Former: former}
}

// surelyGone reports whether an incarnation left by itself, or another one has taken its name.
func (sta *State) surelyGone(inc string) bool {
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

func (sta *State) units() map[string]string {
	units := make(map[string]string, len(sta.Groups))
	for name, grp := range sta.Groups {
		units[name] = grp.Zone
	}
	for name, vm := range sta.Catalog.Inventory.VMs {
		if vm.Worker == cataloger.WorkerService {
			units[name] = vm.Zone
		}
	}
	return units
}
