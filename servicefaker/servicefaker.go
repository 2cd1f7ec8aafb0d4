package servicefaker

import (
	"maps"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Faker serves all VMs of one plain service.
type Faker struct {
	opt     Options
	dis     *disturber.Disturber
	control *hoster.Host
	servers map[string]*server

	mut  sync.Mutex
	flt  Faults
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
	fkr := &Faker{opt: opt, dis: disturber.New(opt.Clock), servers: map[string]*server{}, runs: map[string]int{}}
	for name, vm := range opt.Inventory.VMs {
		if vm.Worker == cataloger.WorkerService && vm.Service == opt.Service {
			fkr.servers[name] = newServer(fkr, name, vm)
		}
	}
	if opt.Control != "" {
		fkr.control = hoster.New(opt.Control, fkr.ControlHandler())
	}
	return fkr
}

// Start listens at the address of each VM and at the control address.
func (fkr *Faker) Start() error {
	for _, srv := range fkr.servers {
		if err := srv.host.Start(); err != nil {
			fkr.Close()
			return errors.Annotate(err, "servicefaker: start")
		}
	}
	if fkr.control == nil {
		return nil
	}
	return errors.Annotate(fkr.control.Start(), "servicefaker: start")
}

// Close closes all listeners and connections.
func (fkr *Faker) Close() {
	for _, srv := range fkr.servers {
		srv.host.Close()
	}
	if fkr.control != nil {
		fkr.control.Close()
	}
}

// Address returns the address that a VM listens at, or "" for an unknown VM.
func (fkr *Faker) Address(vm string) string {
	srv := fkr.servers[vm]
	if srv == nil {
		return ""
	}
	return srv.host.Address()
}

// ControlHandler serves the faults and the counts over HTTP.
func (fkr *Faker) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.Endpoint(fkr.faults, fkr.setFaults))
	mux.HandleFunc("GET /v1/counts", fkr.serveCounts)
	return mux
}

func (fkr *Faker) serveCounts(wtr http.ResponseWriter, _ *http.Request) {
	fkr.mut.Lock()
	cnt := counts{Runs: maps.Clone(fkr.runs), VMs: map[string]vmCounts{}}
	for name, srv := range fkr.servers {
		cnt.VMs[name] = srv.cnt
	}
	fkr.mut.Unlock()
	jsoncoder.Write(wtr, http.StatusOK, cnt)
}

func (fkr *Faker) faults() Faults {
	fkr.mut.Lock()
	defer fkr.mut.Unlock()
	flt := Faults{Faults: fkr.flt.Faults, VMs: map[string]VMFaults{}}
	for name := range fkr.flt.VMs {
		flt.VMs[name] = fkr.servers[name].flt
	}
	return flt
}

func (fkr *Faker) setFaults(flt Faults) error {
	for name := range flt.VMs {
		if fkr.servers[name] == nil {
			return errors.NotFoundf("servicefaker: VM %q", name)
		}
	}
	fkr.mut.Lock()
	fkr.flt = flt
	fkr.mut.Unlock()
	for name, srv := range fkr.servers {
		vmf, named := flt.VMs[name]
		vmf.Revive = vmf.Revive || !named
		if err := srv.setFaults(vmf); err != nil {
			return errors.Annotate(err, "servicefaker: set faults")
		}
	}
	return fkr.dis.Set(flt.Faults)
}
