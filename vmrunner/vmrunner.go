package vmrunner

import (
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
	"github.com/lovagelever/lovagelever/jsoncoder"
)

// VM is a simulated VM with faults of type F; SetFaults with revive also restarts a killed VM.
type VM[F any] interface {
	Faults() F
	SetFaults(flt F, revive bool) error
}

// Faults are the faults of the whole process and, by VM name, of single VMs.
type Faults[F any] struct {
	disturber.Faults
	VMs map[string]F `json:"vms,omitempty"`
}

// Runner serves VMs whose faults have the type F.
type Runner[F any] struct {
	clk      clockwork.Clock
	dis      *disturber.FaultInjector
	control  *hoster.Server
	counts   func() any
	machines map[string]*VMListener
	vms      map[string]VM[F]

	mut sync.Mutex
	flt Faults[F]
}

// New returns a runner without VMs; control is the address of the control API, which stays closed if control is empty.
func New[F any](clk clockwork.Clock, control string, counts func() any) *Runner[F] {
	run := &Runner[F]{
		clk: clk, dis: disturber.New(clk), counts: counts, machines: map[string]*VMListener{}, vms: map[string]VM[F]{},
	}
	if control != "" {
		run.control = hoster.New(control, run.ControlHandler())
	}
	return run
}

// Add registers a VM and returns its listener, which opens at Start.
func (run *Runner[F]) Add(name, address string, vm VM[F], handler http.Handler) *VMListener {
	run.vms[name] = vm
	run.machines[name] = newMachine(run.clk, run.dis, address, handler)
	return run.machines[name]
}

// Start opens the listeners of all VMs and of the control API; it fails when one of the addresses cannot be bound.
func (run *Runner[F]) Start() error {
	for _, mac := range run.machines {
		if err := mac.host.Start(); err != nil {
			run.Close()
			return errors.Annotate(err, "vmrunner: start listeners")
		}
	}
	if run.control == nil {
		return nil
	}
	return errors.Annotate(run.control.Start(), "vmrunner: start listeners")
}

// Close closes all listeners and their connections.
func (run *Runner[F]) Close() {
	for _, mac := range run.machines {
		mac.host.Close()
	}
	if run.control != nil {
		run.control.Close()
	}
}

// Address returns the address that a VM listens on, or "" for an unknown VM.
func (run *Runner[F]) Address(vm string) string {
	mac := run.machines[vm]
	if mac == nil {
		return ""
	}
	return mac.host.Address()
}

// ControlHandler returns the handler of the control API, which sets faults and returns the counts.
func (run *Runner[F]) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.FaultsHandler(run.faults, run.setFaults))
	mux.HandleFunc("GET /v1/counts", func(wtr http.ResponseWriter, _ *http.Request) {
		jsoncoder.Write(wtr, http.StatusOK, run.counts())
	})
	return mux
}

func (run *Runner[F]) faults() Faults[F] {
	run.mut.Lock()
	defer run.mut.Unlock()
	flt := Faults[F]{Faults: run.flt.Faults, VMs: map[string]F{}}
	for name := range run.flt.VMs {
		flt.VMs[name] = run.vms[name].Faults()
	}
	return flt
}

func (run *Runner[F]) setFaults(flt Faults[F]) error {
	for name := range flt.VMs {
		if run.vms[name] == nil {
			return errors.NotFoundf("vmrunner: VM %q", name)
		}
	}
	run.mut.Lock()
	run.flt = flt
	run.mut.Unlock()
	for name, vm := range run.vms {
		vmf, named := flt.VMs[name]
		if err := vm.SetFaults(vmf, !named); err != nil {
			return errors.Annotate(err, "vmrunner: set faults")
		}
	}
	return run.dis.SetFaults(flt.Faults)
}
