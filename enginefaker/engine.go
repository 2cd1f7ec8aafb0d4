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
	// reasonFellOver is the reason of an engine that restarted because it got more requests than its cold limit while cold.
	reasonFellOver = "fell over"
	callTimeout    = 5 * time.Second
)

// engine is the model engine of one VM; the mutex of its Simulator guards the fields after client.
type engine struct {
	sim         *Simulator
	name        string
	checksFence bool
	machine     *vmrunner.VMListener
	client      *http.Client

	flt     VMFaults
	started string
	// generation counts the changes of the order and the state.
	generation  int64
	newestFence int64
	ord         order
	state       string
	reason      string
	heldWeights []string

	queue     []*job
	running   []*job
	latestJob *job
	stepping  bool
	lastStep  time.Duration
	busyTime  time.Duration
	// remoteSlowFactor is the largest slow factor of the members in other processes.
	remoteSlowFactor float64

	cache    *cache
	events   []event
	eventSeq int64
	reports  []timedReport
	cnt      vmCounts
}

func newEngine(sim *Simulator, name string, vm cataloger.VM) *engine {
	eng := &engine{
		sim: sim, name: name, checksFence: vm.ChecksFence,
		client: newClient(vm.Address), cnt: vmCounts{Refused: map[string]int{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", eng.serveStatus)
	mux.HandleFunc("POST /v1/order", eng.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", eng.serveChat)
	mux.HandleFunc("DELETE /v1/requests/{id}", eng.serveCancel)
	mux.HandleFunc("GET /v1/events", eng.serveEvents)
	mux.HandleFunc("POST /v1/member", eng.serveMember)
	eng.machine = sim.Add(name, vm.Address, eng, mux)
	eng.restart("started")
	return eng
}

// newClient returns a client that dials from the IP of the VM, which cut_sources faults at the called VM match.
func newClient(address string) *http.Client {
	dlr := net.Dialer{Timeout: callTimeout}
	if own, err := net.ResolveTCPAddr("tcp", address); err == nil {
		dlr.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DialContext: dlr.DialContext}}
}

// restart breaks every request and restarts the engine cold, without weights and without an order.
func (eng *engine) restart(reason string) {
	eng.breakJobs()
	eng.started = uuid.NewString()
	eng.newestFence, eng.busyTime, eng.heldWeights = 0, 0, nil
	eng.cache = &cache{limit: eng.sim.opt.CacheTokens}
	eng.setOrder(order{}, stateEmpty, reason)
}

// setOrder sets the order, the state and the reason of the state.
func (eng *engine) setOrder(ord order, state, reason string) {
	eng.generation++
	eng.ord, eng.state, eng.reason = ord, state, reason
	eng.remoteSlowFactor = 1
	eng.sim.aud.record(eng.name, ord, state)
	eng.recordReport()
}

func (eng *engine) warm() bool {
	return eng.busyTime >= eng.sim.opt.WarmAfter
}

// Faults returns the faults of the VM.
func (eng *engine) Faults() VMFaults {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	return eng.flt
}

// SetFaults replaces the faults of the VM.
func (eng *engine) SetFaults(flt VMFaults, revive bool) error {
	flt.Revive = flt.Revive || revive
	eng.sim.mut.Lock()
	if flt.TurnCold {
		eng.busyTime = 0
		eng.recordReport()
	}
	if eng.machine.UpdateKilled(&flt.CommonFaults) {
		eng.restart("started")
	}
	eng.flt = flt
	eng.sim.mut.Unlock()
	return eng.machine.ApplyFaults(flt.CommonFaults)
}
