package reducer

import (
	"slices"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/cataloger"
)

// duties are the assignments computed from the members and the catalog; they are not stored in snapshots.
type duties struct {
	pool        *assigner.Pool
	byName      map[string]Member
	watchers    map[string]Member
	controllers map[string]Member
	snapshotter Member
}

// Controller returns the member that forms, quiesces and retires the groups of a region.
func (sta *State) Controller(region string) (Member, bool) {
	mem, found := sta.duties.controllers[region]
	return mem, found
}

func (sta *State) isController(writer, region string) bool {
	mem, found := sta.Controller(region)
	return found && mem.Incarnation == writer
}

// assignAll recomputes all duties and the homes of units.
func (sta *State) assignAll() {
	sta.assignDuties()
	sta.assignHomes()
}

// assignDuties recomputes the duties that are not stored in the state.
func (sta *State) assignDuties() {
	dut := duties{
		pool:        assigner.NewPool(sta.candidates()),
		byName:      make(map[string]Member, len(sta.Members)),
		watchers:    map[string]Member{},
		controllers: map[string]Member{},
	}
	for _, mem := range sta.Members {
		dut.byName[mem.Name] = mem
	}
	dut.snapshotter, _ = dut.pick("snapshotter", "", "")
	for _, vm := range sta.Catalog.Inventory.VMs {
		if _, known := dut.watchers[vm.Domain]; known || vm.WorkerKind != cataloger.WorkerEngine {
			continue
		}
		if mem, found := dut.pick("watcher/"+vm.Domain, vm.Zone, sta.Catalog.Inventory.Zones[vm.Zone].Region); found {
			dut.watchers[vm.Domain] = mem
		}
	}
	for _, zone := range sta.Catalog.Inventory.Zones {
		if mem, found := dut.pick("controller/"+zone.Region, "", zone.Region); found {
			dut.controllers[zone.Region] = mem
		}
	}
	sta.duties = dut
}

func (dut *duties) pick(subject, zone, region string) (Member, bool) {
	can, found := dut.pool.Pick(subject, zone, region)
	return dut.byName[can.Name], found
}

// candidates returns the members that are not draining and not in a zone that is out of service, or all members if there are none.
func (sta *State) candidates() []assigner.Candidate {
	var eligible, all []assigner.Candidate
	for _, mem := range sta.Members {
		can := assigner.Candidate{Name: mem.Name, Zone: mem.Zone, Region: mem.Region}
		all = append(all, can)
		if !mem.Draining && !slices.Contains(sta.Catalog.Rules.DisabledZones, mem.Zone) {
			eligible = append(eligible, can)
		}
	}
	if len(eligible) == 0 {
		return all
	}
	return eligible
}
