package cataloger

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
)

// The classes of request that an objective may name.
const (
	ClassModel             = "model"
	ClassIdempotentCall    = "idempotent_call"
	ClassNonIdempotentCall = "non_idempotent_call"
)

var namePattern = regexp.MustCompile(`^[a-z0-9_.-]+$`)

// Problem is one fault of a catalog; Path leads to it, such as "inventory.vms.a1.fabric_domain".
type Problem struct {
	Path    string
	Message string
}

// Validate returns every fault of a catalog, in the order of their paths.
func Validate(cat Catalog) []Problem {
	val := validator{cat: cat}
	val.checkNames()
	val.checkVMs()
	val.checkModels()
	val.checkServices()
	val.checkWorkspaces()
	val.checkRuleValues()
	val.checkRuleNames()
	return val.sorted()
}

// ValidateRules returns the faults that rules have whatever the inventory is, in the order of their paths.
func ValidateRules(rul Rules) []Problem {
	val := validator{cat: Catalog{Rules: rul}}
	val.checkRuleValues()
	return val.sorted()
}

// validator gathers the problems of one catalog.
type validator struct {
	cat      Catalog
	problems []Problem
}

func (val *validator) report(path, format string, args ...any) {
	val.problems = append(val.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (val *validator) sorted() []Problem {
	slices.SortFunc(val.problems, func(one, two Problem) int {
		return cmp.Or(cmp.Compare(one.Path, two.Path), cmp.Compare(one.Message, two.Message))
	})
	return val.problems
}

func (val *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		val.report(path, "name %q holds characters other than a-z, 0-9, '-', '_' and '.'", name)
	}
}

func (val *validator) checkNames() {
	inv := val.cat.Inventory
	if inv.Deployment != "" {
		val.checkName("inventory.deployment", inv.Deployment)
	}
	checkKeys(val, "inventory.availability_zones", inv.Zones)
	checkKeys(val, "inventory.vms", inv.VMs)
	checkKeys(val, "inventory.models", inv.Models)
	checkKeys(val, "inventory.services", inv.Services)
	checkKeys(val, "inventory.workspaces", inv.Workspaces)
}

func checkKeys[T any](val *validator, path string, items map[string]T) {
	for name := range items {
		val.checkName(path+"."+name, name)
	}
}

func sortedKeys[T any](items map[string]T) []string {
	return slices.Sorted(maps.Keys(items))
}
