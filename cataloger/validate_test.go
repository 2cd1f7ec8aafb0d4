package cataloger_test

import (
	"fmt"
	"maps"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
)

func validCatalog() cataloger.Catalog {
	vms := map[string]cataloger.VM{}
	for i := range 4 {
		vms[fmt.Sprintf("a%d", i)] = cataloger.VM{
			Zone: "za", Domain: "fa", Address: fmt.Sprintf("127.0.1.%d:9000", i), WorkerKind: cataloger.WorkerEngine, Accelerators: 4,
		}
	}
	vms["desk"] = cataloger.VM{Zone: "zb", Address: "127.0.2.1:9000", WorkerKind: cataloger.WorkerService, Service: "booking"}
	return cataloger.Catalog{
		Inventory: cataloger.Inventory{
			Deployment: "test",
			Zones:      map[string]cataloger.Zone{"za": {Region: "r"}, "zb": {Region: "r"}},
			VMs:        vms,
			Models:     map[string]cataloger.Model{"m": {Replicas: 1, VMsPerReplica: 4, AcceleratorsPerVM: 4, ColdLimit: 2, WarmLimit: 16}},
			Services:   map[string]cataloger.Service{"booking": {ColdLimit: 1, WarmLimit: 1}},
			Workspaces: map[string]cataloger.WorkspaceSpec{"w": {Models: []string{"m"}, Services: []string{"booking"}}},
		},
		Rules: cataloger.Rules{
			DisabledZones: []string{"zb"},
			Workspaces: map[string]cataloger.WorkspaceRule{"w": {Priority: 1, Weight: 1, Objectives: map[string]cataloger.Objective{
				cataloger.ClassModel: {Target: 0.95},
			}}},
		},
	}
}

func withVM(name string, change func(*cataloger.VM)) func(*cataloger.Catalog) {
	return func(cat *cataloger.Catalog) {
		item := cat.Inventory.VMs[name]
		change(&item)
		cat.Inventory.VMs[name] = item
	}
}

func withModel(change func(*cataloger.Model)) func(*cataloger.Catalog) {
	return func(cat *cataloger.Catalog) {
		item := cat.Inventory.Models["m"]
		change(&item)
		cat.Inventory.Models["m"] = item
	}
}

func withObjective(class string, target float64) func(*cataloger.Catalog) {
	return func(cat *cataloger.Catalog) {
		cat.Rules.Workspaces["w"] = cataloger.WorkspaceRule{Objectives: map[string]cataloger.Objective{class: {Target: target}}}
	}
}

var invalidCatalogs = []struct {
	name   string
	change func(*cataloger.Catalog)
	paths  []string
}{
	{"unknown zone", withVM("desk", func(vm *cataloger.VM) { vm.Zone = "zx" }), []string{"inventory.vms.desk.availability_zone"}},
	{"no domain", withVM("a0", func(vm *cataloger.VM) { vm.Domain = "" }), []string{"inventory.models.m.vms_per_replica", "inventory.vms.a0.fabric_domain"}},
	{"no accelerators", withVM("a0", func(vm *cataloger.VM) { vm.Accelerators = 0 }), []string{"inventory.models.m.vms_per_replica", "inventory.vms.a0.accelerators"}},
	{"too few accelerators for the model", withVM("a0", func(vm *cataloger.VM) { vm.Accelerators = 3 }), []string{"inventory.models.m.vms_per_replica"}},
	{"no address", withVM("a0", func(vm *cataloger.VM) { vm.Address = "" }), []string{"inventory.vms.a0.address"}},
	{"same address", withVM("a3", func(vm *cataloger.VM) { vm.Address = "127.0.1.0:9000" }), []string{"inventory.vms.a3.address"}},
	{"domain in two zones", withVM("a3", func(vm *cataloger.VM) { vm.Zone = "zb" }), []string{"inventory.vms.a3.fabric_domain"}},
	{"unknown service", withVM("desk", func(vm *cataloger.VM) { vm.Service = "other" }), []string{"inventory.vms.desk.service"}},
	{"unknown worker", withVM("desk", func(vm *cataloger.VM) { vm.WorkerKind = "robot" }), []string{"inventory.vms.desk.worker"}},
	{"no VMs per replica", withModel(func(mod *cataloger.Model) { mod.VMsPerReplica = 0 }), []string{"inventory.models.m.vms_per_replica"}},
	{"replica larger than every domain", withModel(func(mod *cataloger.Model) { mod.VMsPerReplica = 5 }), []string{"inventory.models.m.vms_per_replica"}},
	{"negative replicas", withModel(func(mod *cataloger.Model) { mod.Replicas = -1 }), []string{"inventory.models.m.replicas"}},
	{"no cold limit", withModel(func(mod *cataloger.Model) { mod.ColdLimit = 0 }), []string{"inventory.models.m.cold_limit"}},
	{"warm below cold", withModel(func(mod *cataloger.Model) { mod.WarmLimit = 1 }), []string{"inventory.models.m.warm_limit"}},
	{"workspace of unknown model and service", func(cat *cataloger.Catalog) {
		cat.Inventory.Workspaces["w"] = cataloger.WorkspaceSpec{Models: []string{"m", "x"}, Services: []string{"y"}}
	}, []string{"inventory.workspaces.w.models.1", "inventory.workspaces.w.services.0"}},
	{"rule of unknown workspace and zone", func(cat *cataloger.Catalog) {
		cat.Rules = cataloger.Rules{DisabledZones: []string{"zx"}, Workspaces: map[string]cataloger.WorkspaceRule{"x": {}}}
	}, []string{"rules.availability_zones_out.0", "rules.workspaces.x"}},
	{"all zones out of service", func(cat *cataloger.Catalog) { cat.Rules.DisabledZones = []string{"zb", "za"} }, []string{"rules.availability_zones_out"}},
	{"negative priority and weight", func(cat *cataloger.Catalog) {
		cat.Rules.Workspaces["w"] = cataloger.WorkspaceRule{Priority: -1, Weight: -1}
	}, []string{"rules.workspaces.w.priority", "rules.workspaces.w.weight"}},
	{"target of 1", withObjective(cataloger.ClassIdempotentCall, 1), []string{"rules.workspaces.w.objectives.idempotent_call.target"}},
	{"target of 0", withObjective(cataloger.ClassNonIdempotentCall, 0), []string{"rules.workspaces.w.objectives.non_idempotent_call.target"}},
	{"unknown class", withObjective("stream", 0.9), []string{"rules.workspaces.w.objectives.stream"}},
	{"name with a space", func(cat *cataloger.Catalog) { cat.Inventory.Zones["Z c"] = cataloger.Zone{} }, []string{"inventory.availability_zones.Z c"}},
	{"several problems", func(cat *cataloger.Catalog) {
		withVM("desk", func(vm *cataloger.VM) { vm.Zone, vm.Service = "zx", "" })(cat)
		withModel(func(mod *cataloger.Model) { mod.Replicas, mod.ColdLimit, mod.WarmLimit = -1, 0, -1 })(cat)
	}, []string{
		"inventory.models.m.cold_limit", "inventory.models.m.replicas", "inventory.models.m.warm_limit",
		"inventory.vms.desk.availability_zone", "inventory.vms.desk.service",
	}},
}

var _ = Describe("Validate", func() {
	It("accepts an empty and a complete catalog", func() {
		Expect(cataloger.Validate(cataloger.Catalog{})).To(BeEmpty())
		Expect(cataloger.Validate(validCatalog())).To(BeEmpty())
	})
	for _, cas := range invalidCatalogs {
		It("reports: "+cas.name, func() {
			cat := validCatalog()
			cas.change(&cat)
			found := cataloger.Validate(cat)
			var paths []string
			for _, prb := range found {
				paths = append(paths, prb.Path)
				Expect(prb.Message).NotTo(BeEmpty())
			}
			Expect(paths).To(Equal(cas.paths))
			for range 20 {
				again := cat
				again.Inventory.VMs = maps.Clone(cat.Inventory.VMs)
				Expect(cataloger.Validate(again)).To(Equal(found))
			}
		})
	}
	It("checks only the values of rules when no inventory is given", func() {
		rul := cataloger.Rules{DisabledZones: []string{"zx"}, Workspaces: map[string]cataloger.WorkspaceRule{"x": {Weight: -1}}}
		Expect(cataloger.ValidateRules(rul)).To(HaveLen(1))
	})
})
