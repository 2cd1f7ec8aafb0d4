package enginefaker

import (
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

// States of an engine.
const (
	stateEmpty   = "empty"
	stateLoading = "loading"
	stateReady   = "ready"
)

const (
	reasonFellOver = "fell over"
	callTimeout    = 5 * time.Second
)

// engine is the model engine of one VM; the mutex of its Faker guards the fields after client.
type engine struct {
	fkr     *Faker
	name    string
	checks  bool
	machine *vmrunner.Machine
	client  *http.Client

	flt     VMFaults
	started string
	// generation counts the changes of the order.
	generation int64
	seen       int64
	ord        order
	state      string
	reason     string
	held       []string

	queue    []*job
	running  []*job
	latest   *job
	stepping bool
	step     time.Duration
	busy     time.Duration
	// remoteSlow is the largest slow factor of the members in other processes.
	remoteSlow float64

	cache    *cache
	events   []event
	eventSeq int64
	reports  []datedReport
	cnt      vmCounts
}

func newEngine(fkr *Faker, name string, vm cataloger.VM) *engine {
	eng := &engine{
		fkr: fkr, name: name, checks: vm.ChecksFence,
		client: newClient(vm.Address), cnt: vmCounts{Refused: map[string]int{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", eng.serveStatus)
	mux.HandleFunc("POST /v1/order", eng.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", eng.serveChat)
	mux.HandleFunc("DELETE /v1/requests/{id}", eng.serveCancel)
	mux.HandleFunc("GET /v1/events", eng.serveEvents)
	mux.HandleFunc("POST /v1/member", eng.serveMember)
	eng.machine = fkr.Add(name, vm.Address, eng, mux)
	eng.restart("started")
	return eng
}

// newClient dials from the IP of the VM.
func newClient(address string) *http.Client {
	dlr := net.Dialer{Timeout: callTimeout}
	if own, err := net.ResolveTCPAddr("tcp", address); err == nil {
		dlr.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dlr.DialContext}}
}

// restart breaks every request and starts empty.
func (eng *engine) restart(reason string) {
	eng.breakJobs()
	eng.started = uuid.NewString()
	eng.seen, eng.busy, eng.held = 0, 0, nil
	eng.cache = &cache{limit: eng.fkr.opt.CacheTokens}
	eng.turn(order{}, stateEmpty, reason)
}

// turn takes an order and a state together.
func (eng *engine) turn(ord order, state, reason string) {
	eng.generation++
	eng.ord, eng.state, eng.reason = ord, state, reason
	eng.remoteSlow = 1
	eng.fkr.aud.note(eng.name, ord, state)
	eng.note()
}

func (eng *engine) warm() bool {
	return eng.busy >= eng.fkr.opt.WarmAfter
}

// Faults returns the faults of the VM.
func (eng *engine) Faults() VMFaults {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	return eng.flt
}

// SetFaults replaces the faults of the VM.
func (eng *engine) SetFaults(flt VMFaults, revive bool) error {
	flt.Revive = flt.Revive || revive
	eng.fkr.mut.Lock()
	if flt.TurnCold {
		eng.busy = 0
		eng.note()
	}
	if eng.machine.Turn(&flt.Life) {
		eng.restart("started")
	}
	eng.flt = flt
	eng.fkr.mut.Unlock()
	return eng.machine.Apply(flt.Life)
}
