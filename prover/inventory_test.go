//go:build soak

package prover

import (
	"fmt"

	"github.com/lovagelever/lovagelever/cataloger"
)

const (
	region       = "delta"
	largeModel   = "writer"
	smallModel   = "summarizer"
	service      = "desk"
	coldLimit    = 4
	domainCount  = 6
	vmsPerDomain = 4
	serviceVMs   = 3
)

var (
	zones      = []string{"north", "south", "west"}
	workspaces = []string{"halls", "wards", "clubs", "depots"}
)

func zoneOf(num int) string { return zones[num%len(zones)] }

func domainOf(num int) string { return fmt.Sprintf("fabric-%d", num) }

func domainNumber(name string) int {
	var num int
	_, _ = fmt.Sscanf(name, "fabric-%d", &num)
	return num
}

func serviceVM(num int) string { return fmt.Sprintf("desk-%d", num) }

// newCatalog returns a catalog of 6 fabric domains with 4 engine VMs each and of 3 VMs of a plain service. Every third engine does not check fences.
func newCatalog() cataloger.Catalog {
	both := cataloger.WorkspaceSpec{Models: []string{largeModel, smallModel}, Services: []string{service}}
	cat := cataloger.Catalog{
		Inventory: cataloger.Inventory{
			Deployment: "prover",
			Zones:      map[string]cataloger.Zone{},
			VMs:        map[string]cataloger.VM{},
			Models: map[string]cataloger.Model{
				largeModel: newModel(4, 3),
				smallModel: newModel(2, 3),
			},
			Services:   map[string]cataloger.Service{service: {Idempotent: []string{"GET"}, ColdLimit: coldLimit, WarmLimit: 16}},
			Workspaces: map[string]cataloger.WorkspaceSpec{},
		},
		Rules: cataloger.Rules{Workspaces: map[string]cataloger.WorkspaceRule{}},
	}
	for _, zone := range zones {
		cat.Inventory.Zones[zone] = cataloger.Zone{Region: region}
	}
	for _, name := range workspaces {
		cat.Inventory.Workspaces[name] = both
		cat.Rules.Workspaces[name] = cataloger.WorkspaceRule{Priority: 1, Weight: 1}
	}
	addVMs(cat.Inventory.VMs)
	return cat
}

func newModel(vms, replicas int) cataloger.Model {
	return cataloger.Model{
		Version: "1", Replicas: replicas, VMsPerReplica: vms, AcceleratorsPerVM: 4,
		WeightsGigabytes: 4, ColdLimit: coldLimit, WarmLimit: 16,
	}
}

func addVMs(vms map[string]cataloger.VM) {
	for num := range domainCount * vmsPerDomain {
		domain := num / vmsPerDomain
		vms[fmt.Sprintf("engine-%02d", num)] = cataloger.VM{
			Zone: zoneOf(domain), Domain: domainOf(domain), Address: fmt.Sprintf("127.30.1.%d:9000", num+1),
			WorkerKind: cataloger.WorkerEngine, Accelerators: 4, ChecksFence: num%3 != 0,
		}
	}
	for num := range serviceVMs {
		vms[serviceVM(num)] = cataloger.VM{
			Zone: zoneOf(num), Address: fmt.Sprintf("127.30.2.%d:9000", num+1),
			WorkerKind: cataloger.WorkerService, Service: service,
		}
	}
}
