package cataloger

import "fmt"

func (val *validator) checkWorkspaces() {
	inv := val.cat.Inventory
	for name, wsp := range inv.Workspaces {
		path := "inventory.workspaces." + name
		checkKnown(val, path+".models", "model", wsp.Models, inv.Models)
		checkKnown(val, path+".services", "service", wsp.Services, inv.Services)
	}
}

func checkKnown[T any](val *validator, path, what string, names []string, known map[string]T) {
	for i, name := range names {
		if _, found := known[name]; !found {
			val.report(fmt.Sprintf("%s.%d", path, i), "unknown %s %q", what, name)
		}
	}
}

func (val *validator) checkRuleNames() {
	inv, rul := val.cat.Inventory, val.cat.Rules
	for name := range rul.Workspaces {
		if _, known := inv.Workspaces[name]; !known {
			val.report("rules.workspaces."+name, "unknown workspace %q", name)
		}
	}
	checkKnown(val, "rules.availability_zones_out", "availability zone", rul.ZonesOut, inv.Zones)
	if len(inv.Zones) > 0 && val.allZonesOut() {
		val.report("rules.availability_zones_out", "every availability zone is taken out")
	}
}

func (val *validator) allZonesOut() bool {
	out := map[string]bool{}
	for _, name := range val.cat.Rules.ZonesOut {
		out[name] = true
	}
	for name := range val.cat.Inventory.Zones {
		if !out[name] {
			return false
		}
	}
	return true
}

func (val *validator) checkRuleValues() {
	checkKeys(val, "rules.workspaces", val.cat.Rules.Workspaces)
	for name, rul := range val.cat.Rules.Workspaces {
		path := "rules.workspaces." + name
		if rul.Priority < 0 {
			val.report(path+".priority", "%d is below 0", rul.Priority)
		}
		if rul.Weight < 0 {
			val.report(path+".weight", "%d is below 0", rul.Weight)
		}
		val.checkObjectives(path+".objectives", rul.Objectives)
	}
}

func (val *validator) checkObjectives(path string, objectives map[string]Objective) {
	for class, obj := range objectives {
		if !classKnown(class) {
			val.report(path+"."+class, "unknown class of requests %q, use %q, %q or %q", class, ClassModel, ClassIdempotentCall, ClassNonIdempotentCall)
		}
		if inside := obj.Target > 0 && obj.Target < 1; !inside {
			val.report(path+"."+class+".target", "%v is not between 0 and 1", obj.Target)
		}
	}
}

func classKnown(class string) bool {
	return class == ClassModel || class == ClassIdempotentCall || class == ClassNonIdempotentCall
}
