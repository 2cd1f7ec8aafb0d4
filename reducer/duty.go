package reducer

import (
	"slices"

	"github.com/lovagelever/lovagelever/assigner"
)

// Controller returns the member that decides on the groups of a region.
func (sta *State) Controller(region string) (Member, bool) {
	return sta.pick("controller/"+region, "", region)
}

// Watcher returns the member that probes the VMs of a fabric domain which are in no group.
func (sta *State) Watcher(domain, zone string) (Member, bool) {
	return sta.pick("watcher/"+domain, zone, sta.Catalog.Inventory.Zones[zone].Region)
}

// Snapshotter returns the member that appends snapshots.
func (sta *State) Snapshotter() (Member, bool) {
	return sta.pick("snapshotter", "", "")
}

func (sta *State) controls(writer, region string) bool {
	mem, found := sta.Controller(region)
	return found && mem.Incarnation == writer
}

func (sta *State) pick(subject, zone, region string) (Member, bool) {
	can, found := assigner.PickNear(subject, zone, region, sta.candidates())
	if !found {
		return Member{}, false
	}
	return sta.memberNamed(can.Name), true
}

// candidates are the members that neither drain nor stand in a zone taken out, or all when none is left.
func (sta *State) candidates() []assigner.Candidate {
	var fit, all []assigner.Candidate
	for _, mem := range sta.Members {
		can := assigner.Candidate{Name: mem.Name, Zone: mem.Zone, Region: mem.Region}
		all = append(all, can)
		if !mem.Draining && !slices.Contains(sta.Catalog.Rules.ZonesOut, mem.Zone) {
			fit = append(fit, can)
		}
	}
	if len(fit) == 0 {
		return all
	}
	return fit
}

func (sta *State) memberNamed(name string) Member {
	for _, mem := range sta.Members {
		if mem.Name == name {
			return mem
		}
	}
	return Member{}
}
