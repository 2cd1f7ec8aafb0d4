package reducer

import (
	"slices"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/cataloger"
)

// duties are the assignments that follow from members, catalog and groups.
type duties struct {
	pool     *assigner.Pool
	byName   map[string]Member
	watchers map[string]Member
	control  map[string]Member
	snapshot Member
}

// Controller returns the member that decides on the groups of a region.
func (sta *State) Controller(region string) (Member, bool) {
	mem, found := sta.duties.control[region]
	return mem, found
}

func (sta *State) controls(writer, region string) bool {
	mem, found := sta.Controller(region)
	return found && mem.Incarnation == writer
}

// assign works out all duties anew, the homes of units among them.
func (sta *State) assign() {
	sta.derive()
	sta.rehome()
}

// derive works out the duties that the state does not keep.
func (sta *State) derive() {
	dut := duties{
		pool:     assigner.NewPool(sta.candidates()),
		byName:   make(map[string]Member, len(sta.Members)),
		watchers: map[string]Member{},
		control:  map[string]Member{},
	}
	for _, mem := range sta.Members {
		dut.byName[mem.Name] = mem
	}
	dut.snapshot, _ = dut.pick("snapshotter", "", "")
	for _, vm := range sta.Catalog.Inventory.VMs {
		if _, known := dut.watchers[vm.Domain]; known || vm.Worker != cataloger.WorkerEngine {
			continue
		}
		if mem, found := dut.pick("watcher/"+vm.Domain, vm.Zone, sta.Catalog.Inventory.Zones[vm.Zone].Region); found {
			dut.watchers[vm.Domain] = mem
		}
	}
	for _, zone := range sta.Catalog.Inventory.Zones {
		if mem, found := dut.pick("controller/"+zone.Region, "", zone.Region); found {
			dut.control[zone.Region] = mem
		}
	}
	sta.duties = dut
}

func (dut *duties) pick(subject, zone, region string) (Member, bool) {
	can, found := dut.pool.Pick(subject, zone, region)
	return dut.byName[can.Name], found
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
