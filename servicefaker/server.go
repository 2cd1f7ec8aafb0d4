package servicefaker

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/jsoncoder"
	"github.com/lovagelever/lovagelever/vmrunner"
)

// server is one VM of the service; the mutex of its Simulator guards the fields after machine.
type server struct {
	sim     *Simulator
	name    string
	machine *vmrunner.VMListener

	flt       VMFaults
	started   string
	calls     map[*call]struct{}
	busyTime  time.Duration
	busySince time.Time
	cnt       vmCounts
}

type call struct {
	cancel context.CancelFunc
	broken bool
}

type status struct {
	VM      string `json:"vm"`
	Service string `json:"service"`
	State   string `json:"state"`
	Warm    bool   `json:"warm"`
	Running int    `json:"running"`
	Started string `json:"started"`
}

func newServer(sim *Simulator, name string, vm cataloger.VM) *server {
	srv := &server{sim: sim, name: name}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", srv.serveStatus)
	mux.HandleFunc("/", srv.serveCall)
	srv.machine = sim.Add(name, vm.Address, srv, mux)
	srv.restart()
	return srv
}

func (srv *server) serveStatus(wtr http.ResponseWriter, _ *http.Request) {
	srv.sim.mut.Lock()
	sta := status{
		VM: srv.name, Service: srv.sim.opt.Service, State: "ready",
		Warm: srv.warm(), Running: len(srv.calls), Started: srv.started,
	}
	srv.sim.mut.Unlock()
	jsoncoder.Write(wtr, http.StatusOK, sta)
}

// restart breaks every running call and makes the VM cold, with a new start ID.
func (srv *server) restart() {
	for cal := range srv.calls {
		cal.broken = true
		cal.cancel()
	}
	srv.calls = map[*call]struct{}{}
	srv.started = uuid.NewString()
	srv.busyTime = 0
}

func (srv *server) warm() bool {
	busy := srv.busyTime
	if len(srv.calls) > 0 {
		busy += srv.sim.opt.Clock.Since(srv.busySince)
	}
	return busy >= srv.sim.opt.WarmAfter
}

// Faults returns the faults of the VM.
func (srv *server) Faults() VMFaults {
	srv.sim.mut.Lock()
	defer srv.sim.mut.Unlock()
	return srv.flt
}

// SetFaults replaces the faults of the VM.
func (srv *server) SetFaults(flt VMFaults, revive bool) error {
	flt.Revive = flt.Revive || revive
	srv.sim.mut.Lock()
	if flt.TurnCold {
		srv.busyTime, srv.busySince = 0, srv.sim.opt.Clock.Now()
	}
	if srv.machine.UpdateKilled(&flt.CommonFaults) {
		srv.restart()
	}
	srv.flt = flt
	srv.sim.mut.Unlock()
	return srv.machine.ApplyFaults(flt.CommonFaults)
}
