package reducer

import (
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
)

func (sta *State) applyPublication(pub recorder.Publication) Reason {
	if pub.BasedOn != sta.Revision {
		return ReasonConflict
	}
	next := sta.Catalog.Apply(pub.Change)
	if len(cataloger.Validate(next)) > 0 {
		return ReasonInvalid
	}
	sta.Catalog = next
	sta.Revision++
	sta.RevisionOffset = sta.Offset
	sta.retireInvalidGroups()
	return Accepted
}

// retireInvalidGroups removes the groups whose model or VMs no longer match the catalog.
func (sta *State) retireInvalidGroups() {
	for name, grp := range sta.Groups {
		if !sta.groupValid(grp) {
			sta.dropGroup(name)
		}
	}
}

func (sta *State) groupValid(grp Group) bool {
	mod, known := sta.Catalog.Inventory.Models[grp.Model]
	if !known || mod.VMsPerReplica != len(grp.VMs) {
		return false
	}
	for _, name := range grp.VMs {
		vm, known := sta.Catalog.Inventory.VMs[name]
		if !known || !vmFitsModel(vm, mod) || vm.Domain != grp.Domain || vm.Zone != grp.Zone {
			return false
		}
	}
	return true
}

func vmFitsModel(vm cataloger.VM, mod cataloger.Model) bool {
	return vm.WorkerKind == cataloger.WorkerEngine && vm.Accelerators >= mod.AcceleratorsPerVM
}
