package servicefaker

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
	"github.com/lovagelever/lovagelever/jsoncoder"
)

// server is one VM of the service; the mutex of its Faker guards the fields after host.
type server struct {
	fkr  *Faker
	name string
	dis  *disturber.Disturber
	host *hoster.Host

	flt     VMFaults
	dead    bool
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
	srv := &server{fkr: fkr, name: name, dis: disturber.New(fkr.opt.Clock)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", srv.serveStatus)
	mux.HandleFunc("/", srv.serveCall)
	srv.host = hoster.New(vm.Address, fkr.dis.Wrap(srv.dis.Wrap(mux)))
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

func (srv *server) setFaults(flt VMFaults) error {
	srv.fkr.mut.Lock()
	kill := flt.Kill && !srv.dead && !flt.Revive
	revive := flt.Revive && srv.dead
	if kill || revive {
		srv.restart()
		srv.dead = kill
	}
	if flt.TurnCold {
		srv.busy, srv.since = 0, srv.fkr.opt.Clock.Now()
	}
	flt.Kill, flt.Revive, flt.TurnCold = srv.dead, false, false
	srv.flt = flt
	srv.fkr.mut.Unlock()
	_ = srv.dis.Set(flt.Faults)
	if kill {
		srv.host.Close()
	}
	if revive {
		return srv.host.Start()
	}
	return nil
}
