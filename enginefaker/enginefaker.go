package enginefaker

import (
	"math/rand"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/hoster"
	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Faker serves the model engines of all VMs in one fabric domain.
type Faker struct {
	opt     Options
	dis     *disturber.Disturber
	control *hoster.Host
	engines map[string]*engine
	done    chan struct{}
	closing sync.Once

	mut sync.Mutex
	flt Faults
	rnd *rand.Rand
	aud auditor
}

// New makes the engines that the inventory puts into the fabric domain.
func New(opt Options) *Faker {
	opt = opt.complete()
	fkr := &Faker{
		opt: opt, dis: disturber.New(opt.Clock), engines: map[string]*engine{}, done: make(chan struct{}),
		rnd: rand.New(rand.NewSource(opt.Seed)), aud: auditor{},
	}
	for name, vm := range opt.Inventory.VMs {
		if vm.Worker == cataloger.WorkerEngine && vm.Domain == opt.Domain {
			fkr.engines[name] = newEngine(fkr, name, vm)
		}
	}
	if opt.Control != "" {
		fkr.control = hoster.New(opt.Control, fkr.ControlHandler())
	}
	return fkr
}

// Start listens at the address of each VM and at the control address.
func (fkr *Faker) Start() error {
	for _, eng := range fkr.engines {
		if err := eng.host.Start(); err != nil {
			fkr.Close()
			return errors.Annotate(err, "enginefaker: start")
		}
	}
	if fkr.control == nil {
		return nil
	}
	return errors.Annotate(fkr.control.Start(), "enginefaker: start")
}

// Close closes all listeners and connections.
func (fkr *Faker) Close() {
	fkr.closing.Do(func() { close(fkr.done) })
	for _, eng := range fkr.engines {
		eng.host.Close()
	}
	if fkr.control != nil {
		fkr.control.Close()
	}
}

// Address returns the address that a VM listens at, or "" for an unknown VM.
func (fkr *Faker) Address(vm string) string {
	eng := fkr.engines[vm]
	if eng == nil {
		return ""
	}
	return eng.host.Address()
}

// ControlHandler serves the faults and the counts over HTTP.
func (fkr *Faker) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.Endpoint(fkr.faults, fkr.setFaults))
	mux.HandleFunc("GET /v1/counts", fkr.serveCounts)
	return mux
}

func (fkr *Faker) serveCounts(wtr http.ResponseWriter, _ *http.Request) {
	jsoncoder.Write(wtr, http.StatusOK, fkr.counts())
}

func (fkr *Faker) faults() Faults {
	fkr.mut.Lock()
	defer fkr.mut.Unlock()
	flt := Faults{Faults: fkr.flt.Faults, VMs: map[string]VMFaults{}}
	for name := range fkr.flt.VMs {
		flt.VMs[name] = fkr.engines[name].flt
	}
	return flt
}

func (fkr *Faker) setFaults(flt Faults) error {
	for name := range flt.VMs {
		if fkr.engines[name] == nil {
			return errors.NotFoundf("enginefaker: VM %q", name)
		}
	}
	fkr.mut.Lock()
	fkr.flt = flt
	fkr.mut.Unlock()
	for name, eng := range fkr.engines {
		vmf, named := flt.VMs[name]
		vmf.Revive = vmf.Revive || !named
		if err := eng.setFaults(vmf); err != nil {
			return errors.Annotate(err, "enginefaker: set faults")
		}
	}
	return fkr.dis.Set(flt.Faults)
}

// wait reports whether the time passed before the Faker closed.
func (fkr *Faker) wait(span time.Duration) bool {
	select {
	case <-fkr.opt.Clock.After(span):
		return true
	case <-fkr.done:
		return false
	}
}
