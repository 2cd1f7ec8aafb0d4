package servicefaker

import (
	"maps"
	"sync"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

// Simulator simulates all VMs of one plain service.
type Simulator struct {
	*vmrunner.Runner[VMFaults]
	opt     Options
	servers map[string]*server

	mut  sync.Mutex
	runs map[string]int
}

type counts struct {
	Runs map[string]int      `json:"runs"`
	VMs  map[string]vmCounts `json:"vms"`
}

type vmCounts struct {
	Started      int   `json:"started"`
	FellOver     int   `json:"fell_over"`
	Refused      int   `json:"refused"`
	AcceptedAtMS int64 `json:"accepted_at_ms"`
}

// New returns a simulator of the VMs that the inventory assigns to the service.
func New(opt Options) *Simulator {
	opt = opt.withDefaults()
	sim := &Simulator{opt: opt, servers: map[string]*server{}, runs: map[string]int{}}
	sim.Runner = vmrunner.New[VMFaults](opt.Clock, opt.ControlAddress, sim.counts)
	for name, vm := range opt.Inventory.VMs {
		if vm.WorkerKind == cataloger.WorkerService && vm.Service == opt.Service {
			sim.servers[name] = newServer(sim, name, vm)
		}
	}
	return sim
}

func (sim *Simulator) counts() any {
	sim.mut.Lock()
	defer sim.mut.Unlock()
	cnt := counts{Runs: maps.Clone(sim.runs), VMs: map[string]vmCounts{}}
	for name, srv := range sim.servers {
		cnt.VMs[name] = srv.cnt
	}
	return cnt
}
