package cataloger

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
)

// Request classes that can have an objective.
const (
	ClassModel             = "model"
	ClassIdempotentCall    = "idempotent_call"
	ClassNonIdempotentCall = "non_idempotent_call"
)

var namePattern = regexp.MustCompile(`^[a-z0-9_.-]+$`)

// Problem is one validation error of a catalog; Path is the dotted path of the value, such as "inventory.vms.a1.fabric_domain".
type Problem struct {
	Path    string
	Message string
}

// Validate returns all validation errors of a catalog, sorted by path and message.
func Validate(cat Catalog) []Problem {
	val := validator{cat: cat}
	val.checkNames()
	val.checkVMs()
	val.checkModels()
	val.checkServices()
	val.checkWorkspaces()
	val.checkRuleValues()
	val.checkRuleReferences()
	return val.sortedProblems()
}

// ValidateRules returns the validation errors of rules that do not depend on an inventory, sorted by path and message.
func ValidateRules(rul Rules) []Problem {
	val := validator{cat: Catalog{Rules: rul}}
	val.checkRuleValues()
	return val.sortedProblems()
}

// validator collects the problems of one catalog.
type validator struct {
	cat      Catalog
	problems []Problem
}

func (val *validator) report(path, format string, args ...any) {
	val.problems = append(val.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (val *validator) sortedProblems() []Problem {
	slices.SortFunc(val.problems, func(one, two Problem) int {
		return cmp.Or(cmp.Compare(one.Path, two.Path), cmp.Compare(one.Message, two.Message))
	})
	return val.problems
}

func (val *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		val.report(path, "name %q contains characters other than a-z, 0-9, '-', '_' and '.'", name)
	}
}

func (val *validator) checkNames() {
	inv := val.cat.Inventory
	if inv.Deployment != "" {
		val.checkName("inventory.deployment", inv.Deployment)
	}
	checkKeyNames(val, "inventory.availability_zones", inv.Zones)
	checkKeyNames(val, "inventory.vms", inv.VMs)
	checkKeyNames(val, "inventory.models", inv.Models)
	checkKeyNames(val, "inventory.services", inv.Services)
	checkKeyNames(val, "inventory.workspaces", inv.Workspaces)
}

func checkKeyNames[T any](val *validator, path string, items map[string]T) {
	for name := range items {
		val.checkName(path+"."+name, name)
	}
}

func sortedKeys[T any](items map[string]T) []string {
	return slices.Sorted(maps.Keys(items))
}
