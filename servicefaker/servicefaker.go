package servicefaker

import (
	"maps"
	"sync"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

// Faker serves all VMs of one plain service.
type Faker struct {
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

// New makes the VMs that the inventory gives the service.
func New(opt Options) *Faker {
	opt = opt.complete()
	fkr := &Faker{opt: opt, servers: map[string]*server{}, runs: map[string]int{}}
	fkr.Runner = vmrunner.New[VMFaults](opt.Clock, opt.Control, fkr.counts)
	for name, vm := range opt.Inventory.VMs {
		if vm.Worker == cataloger.WorkerService && vm.Service == opt.Service {
			fkr.servers[name] = newServer(fkr, name, vm)
		}
	}
	return fkr
}

func (fkr *Faker) counts() any {
	fkr.mut.Lock()
	defer fkr.mut.Unlock()
	cnt := counts{Runs: maps.Clone(fkr.runs), VMs: map[string]vmCounts{}}
	for name, srv := range fkr.servers {
		cnt.VMs[name] = srv.cnt
	}
	return cnt
}
