package cataloger

import "fmt"

func (val *validator) checkWorkspaces() {
	inv := val.cat.Inventory
	for name, wsp := range inv.Workspaces {
		path := "inventory.workspaces." + name
		checkReferences(val, path+".models", "model", wsp.Models, inv.Models)
		checkReferences(val, path+".services", "service", wsp.Services, inv.Services)
	}
}

// checkReferences reports the names that are not among the declared items.
func checkReferences[T any](val *validator, path, kind string, names []string, declared map[string]T) {
	for i, name := range names {
		if _, found := declared[name]; !found {
			val.report(fmt.Sprintf("%s.%d", path, i), "unknown %s %q", kind, name)
		}
	}
}

func (val *validator) checkRuleReferences() {
	inv, rul := val.cat.Inventory, val.cat.Rules
	for name := range rul.Workspaces {
		if _, known := inv.Workspaces[name]; !known {
			val.report("rules.workspaces."+name, "unknown workspace %q", name)
		}
	}
	checkReferences(val, "rules.availability_zones_out", "availability zone", rul.DisabledZones, inv.Zones)
	if len(inv.Zones) > 0 && val.allZonesDisabled() {
		val.report("rules.availability_zones_out", "every availability zone is out of service")
	}
}

func (val *validator) allZonesDisabled() bool {
	disabled := map[string]bool{}
	for _, name := range val.cat.Rules.DisabledZones {
		disabled[name] = true
	}
	for name := range val.cat.Inventory.Zones {
		if !disabled[name] {
			return false
		}
	}
	return true
}

func (val *validator) checkRuleValues() {
	checkKeyNames(val, "rules.workspaces", val.cat.Rules.Workspaces)
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
		if !isKnownClass(class) {
			val.report(path+"."+class, "unknown class of requests %q, use %q, %q or %q", class, ClassModel, ClassIdempotentCall, ClassNonIdempotentCall)
		}
		if inside := obj.Target > 0 && obj.Target < 1; !inside {
			val.report(path+"."+class+".target", "%v is not between 0 and 1", obj.Target)
		}
	}
}

func isKnownClass(class string) bool {
	return class == ClassModel || class == ClassIdempotentCall || class == ClassNonIdempotentCall
}
