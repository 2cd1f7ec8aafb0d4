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

// server is one VM of the service; the mutex of its Faker guards the fields after machine.
type server struct {
	fkr     *Faker
	name    string
	machine *vmrunner.Machine

	flt     VMFaults
	started string
	calls   map[*call]struct{}
	busy    time.Duration
	since   time.Time
	cnt     vmCounts
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

func newServer(fkr *Faker, name string, vm cataloger.VM) *server {
	srv := &server{fkr: fkr, name: name}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", srv.serveStatus)
	mux.HandleFunc("/", srv.serveCall)
	srv.machine = fkr.Add(name, vm.Address, srv, mux)
	srv.restart()
	return srv
}

func (srv *server) serveStatus(wtr http.ResponseWriter, _ *http.Request) {
	srv.fkr.mut.Lock()
	sta := status{
		VM: srv.name, Service: srv.fkr.opt.Service, State: "ready",
		Warm: srv.warm(), Running: len(srv.calls), Started: srv.started,
	}
	srv.fkr.mut.Unlock()
	jsoncoder.Write(wtr, http.StatusOK, sta)
}

// restart breaks every call and starts cold.
func (srv *server) restart() {
	for cal := range srv.calls {
		cal.broken = true
		cal.cancel()
	}
	srv.calls = map[*call]struct{}{}
	srv.started = uuid.NewString()
	srv.busy = 0
}

func (srv *server) warm() bool {
	busy := srv.busy
	if len(srv.calls) > 0 {
		busy += srv.fkr.opt.Clock.Since(srv.since)
	}
	return busy >= srv.fkr.opt.WarmAfter
}

// Faults returns the faults of the VM.
func (srv *server) Faults() VMFaults {
	srv.fkr.mut.Lock()
	defer srv.fkr.mut.Unlock()
	return srv.flt
}

// SetFaults replaces the faults of the VM.
func (srv *server) SetFaults(flt VMFaults, revive bool) error {
	flt.Revive = flt.Revive || revive
	srv.fkr.mut.Lock()
	if flt.TurnCold {
		srv.busy, srv.since = 0, srv.fkr.opt.Clock.Now()
	}
	if srv.machine.Turn(&flt.Life) {
		srv.restart()
	}
	srv.flt = flt
	srv.fkr.mut.Unlock()
	return srv.machine.Apply(flt.Life)
}
