package reducer

import (
	"slices"

	"github.com/lovagelever/lovagelever/recorder"
)

func (sta *State) applyForm(writer string, frm recorder.FormGroup) Reason {
	mod, known := sta.Catalog.Inventory.Models[frm.Model]
	if !known {
		return ReasonUnknownModel
	}
	if mod.Version != frm.Version {
		return ReasonOldVersion
	}
	if len(frm.VMs) == 0 || len(frm.VMs) != mod.VMsPerReplica {
		return ReasonWrongSize
	}
	if _, exists := sta.Groups[frm.Group]; exists || frm.Group == "" {
		return ReasonGroupExists
	}
	grp, rea := sta.buildGroup(frm)
	if rea != Accepted {
		return rea
	}
	if !sta.isController(writer, grp.Region) {
		return ReasonNotController
	}
	if frm.Replaces != "" {
		sta.dropGroup(frm.Replaces)
	}
	sta.addGroup(grp)
	return Accepted
}

func (sta *State) buildGroup(frm recorder.FormGroup) (Group, Reason) {
	mod := sta.Catalog.Inventory.Models[frm.Model]
	if rea := sta.checkReplaced(frm); rea != Accepted {
		return Group{}, rea
	}
	grp := Group{Name: frm.Group, Model: frm.Model, Version: frm.Version, VMs: slices.Clone(frm.VMs), Fence: sta.Offset, FormedFor: frm.Reason}
	for num, name := range frm.VMs {
		vm, known := sta.Catalog.Inventory.VMs[name]
		if !known || slices.Contains(frm.VMs[:num], name) {
			return Group{}, ReasonUnknownVM
		}
		if !vmFitsModel(vm, mod) {
			return Group{}, ReasonVMUnfit
		}
		if own := sta.GroupByVM[name]; own != "" && own != frm.Replaces {
			return Group{}, ReasonVMTaken
		}
		if num > 0 && vm.Domain != grp.Domain {
			return Group{}, ReasonSeveralDomains
		}
		grp.Domain, grp.Zone = vm.Domain, vm.Zone
	}
	if sta.Catalog.Rules.ZoneDisabled(grp.Zone) {
		return Group{}, ReasonZoneOut
	}
	grp.Region = sta.Catalog.Inventory.Zones[grp.Zone].Region
	if frm.Replaces != "" && sta.Groups[frm.Replaces].Region != grp.Region {
		return Group{}, ReasonNotController
	}
	return grp, Accepted
}

func (sta *State) checkReplaced(frm recorder.FormGroup) Reason {
	if frm.Replaces == "" {
		return Accepted
	}
	old, known := sta.Groups[frm.Replaces]
	if !known || old.Model != frm.Model {
		return ReasonUnknownGroup
	}
	return Accepted
}

func (sta *State) applyQuiesce(writer string, qui recorder.QuiesceGroup) Reason {
	grp, rea := sta.controlledGroup(writer, qui.Group)
	if rea != Accepted {
		return rea
	}
	grp.Quiesced = true
	sta.Groups[grp.Name] = grp
	return Accepted
}

func (sta *State) applyRetire(writer string, ret recorder.RetireGroup) Reason {
	grp, rea := sta.controlledGroup(writer, ret.Group)
	if rea != Accepted {
		return rea
	}
	sta.dropGroup(grp.Name)
	return Accepted
}

func (sta *State) controlledGroup(writer, name string) (Group, Reason) {
	grp, known := sta.Groups[name]
	if !known {
		return Group{}, ReasonUnknownGroup
	}
	if !sta.isController(writer, grp.Region) {
		return Group{}, ReasonNotController
	}
	return grp, Accepted
}

func (sta *State) addGroup(grp Group) {
	sta.Groups[grp.Name] = grp
	for _, vm := range grp.VMs {
		if own, taken := sta.GroupByVM[vm]; taken {
			panic("reducer: VM " + vm + " of group " + grp.Name + " is in group " + own)
		}
		sta.GroupByVM[vm] = grp.Name
	}
}

func (sta *State) dropGroup(name string) {
	for _, vm := range sta.Groups[name].VMs {
		delete(sta.GroupByVM, vm)
	}
	delete(sta.Groups, name)
}
