package generator

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"github.com/lovagelever/lovagelever/cataloger"
)

const (
	region         = "kolkata"
	accelerators   = 4
	vmsPerUnit     = 60
	workspaceCount = 10
	maxEntries     = 250
	maxZoneVMs     = 200
	fileMode       = 0o644
	dirMode        = 0o755
)

var zones = []string{"kolkata-salt-lake", "kolkata-rajarhat", "howrah"}

// Size describes the deployment to generate, whose IP addresses all begin with the same two numbers; Extra holds additional settings of each entry.
type Size struct {
	AddressPrefix string
	Entries       int
	Engines       int
	DomainVMs     int
	WarmLimit     int
	// Cells is the number of parts that the replicas of the first model are split into, each for its own workspaces.
	Cells int
	Extra map[string]string
}

// Validate fails with errors.NotValid for values out of range, such as a size beyond the available addresses.
func (siz Size) Validate() error {
	if siz.Entries < 1 || siz.Entries > maxEntries {
		return errors.NotValidf("%d entries", siz.Entries)
	}
	if siz.Engines%vmsPerUnit != 0 || siz.Engines < vmsPerUnit || siz.Engines/len(zones) > maxZoneVMs {
		return errors.NotValidf("%d engine VMs (use a multiple of %d)", siz.Engines, vmsPerUnit)
	}
	if siz.DomainVMs < 1 || siz.WarmLimit < 1 || siz.Cells < 1 {
		return errors.NotValidf("%d VMs in a domain, warm limit %d or %d cells", siz.DomainVMs, siz.WarmLimit, siz.Cells)
	}
	return nil
}

// Generate writes inventory.yaml, rules.yaml and entry-N.yaml into the directory; it fails with errors.NotValid for an invalid size, or with the error of a file operation.
func Generate(siz Size, dir string) error {
	if err := siz.Validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Annotate(err, "generator: create directory")
	}
	inv := Inventory(siz)
	if err := write(dir, "inventory.yaml", map[string]any{"inventory": inv}); err != nil {
		return err
	}
	if err := write(dir, "rules.yaml", map[string]any{"rules": Rules(inv)}); err != nil {
		return err
	}
	for num := 1; num <= siz.Entries; num++ {
		if err := write(dir, fmt.Sprintf("entry-%d.yaml", num), settings(siz, num)); err != nil {
			return err
		}
	}
	return nil
}

// Inventory returns the inventory of a size; every 60 engine VMs hold the replicas of one example deployment.
func Inventory(siz Size) cataloger.Inventory {
	units := siz.Engines / vmsPerUnit
	inv := cataloger.Inventory{
		Deployment: "alokrekha",
		Zones:      map[string]cataloger.Zone{},
		VMs:        map[string]cataloger.VM{},
		Models:     map[string]cataloger.Model{"log-summarizer": siz.model(6*units, 2, 4)},
		Services:   map[string]cataloger.Service{"venue-api": {Idempotent: []string{"GET", "HEAD"}, ColdLimit: 2, WarmLimit: 16}},
		Workspaces: map[string]cataloger.WorkspaceSpec{},
	}
	for num, zone := range zones {
		inv.Zones[zone] = cataloger.Zone{Region: region}
		addVMs(&inv, siz, num, zone)
	}
	for num := range siz.Cells {
		inv.Models[ComposerModel(num, siz.Cells)] = siz.model(8*units/siz.Cells, 4, 10)
	}
	for num := range workspaceCount {
		inv.Workspaces[WorkspaceName(num)] = cataloger.WorkspaceSpec{
			Models:   []string{ComposerModel(num%siz.Cells, siz.Cells), "log-summarizer"},
			Services: []string{"venue-api"},
		}
	}
	return inv
}

// ComposerModel returns the name of the first model, or of its part for one of several cells.
func ComposerModel(cell, cells int) string {
	if cells == 1 {
		return "scene-composer"
	}
	return fmt.Sprintf("scene-composer-%d", cell+1)
}

// WorkspaceName returns the name of the workspace with a number, counted from 0.
func WorkspaceName(num int) string {
	return fmt.Sprintf("workspace-%02d", num+1)
}

// Rules returns rules that give each workspace of an inventory the same share.
func Rules(inv cataloger.Inventory) cataloger.Rules {
	rul := cataloger.Rules{Workspaces: map[string]cataloger.WorkspaceRule{}}
	for name := range inv.Workspaces {
		rul.Workspaces[name] = cataloger.WorkspaceRule{Priority: 1, Weight: 1}
	}
	return rul
}

func (siz Size) model(replicas, vms int, gigabytes float64) cataloger.Model {
	return cataloger.Model{
		Version: "1", Replicas: replicas, VMsPerReplica: vms, AcceleratorsPerVM: accelerators,
		WeightsGigabytes: gigabytes, ColdLimit: 2, WarmLimit: siz.WarmLimit,
	}
}

func addVMs(inv *cataloger.Inventory, siz Size, num int, zone string) {
	for pos := range siz.Engines / len(zones) {
		inv.VMs[fmt.Sprintf("%s-engine-%03d", zone, pos+1)] = cataloger.VM{
			Zone:         zone,
			Domain:       fmt.Sprintf("%s-fabric-%d", zone, pos/siz.DomainVMs+1),
			Address:      fmt.Sprintf("%s.%d.%d:9000", siz.AddressPrefix, num+1, pos+1),
			WorkerKind:   cataloger.WorkerEngine,
			Accelerators: accelerators,
			ChecksFence:  pos%3 != 2,
		}
	}
	inv.VMs[zone+"-venue-api"] = cataloger.VM{
		Zone:       zone,
		Address:    fmt.Sprintf("%s.%d.251:9000", siz.AddressPrefix, num+1),
		WorkerKind: cataloger.WorkerService,
		Service:    "venue-api",
	}
}

func settings(siz Size, num int) map[string]string {
	set := map[string]string{
		"name":                 fmt.Sprintf("entry-%d", num),
		"availability_zone":    zones[num%len(zones)],
		"region":               region,
		"address":              fmt.Sprintf("%s.0.%d:8000", siz.AddressPrefix, num),
		"rpc_address":          fmt.Sprintf("%s.0.%d:8001", siz.AddressPrefix, num),
		"log_address":          siz.AddressPrefix + ".9.1:7000",
		"vm_list_address":      siz.AddressPrefix + ".9.2:7000",
		"weight_store_address": siz.AddressPrefix + ".9.3:7000",
	}
	maps.Copy(set, siz.Extra)
	return set
}

func write(dir, name string, val any) error {
	data, err := yaml.Marshal(val)
	if err != nil {
		return errors.Annotate(err, "generator: encode "+name)
	}
	return errors.Annotate(os.WriteFile(filepath.Join(dir, name), data, fileMode), "generator: write file")
}
