package enginefaker

import (
	"math/rand"
	"sync"
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

// Simulator simulates the model engines of all VMs in one fabric domain.
type Simulator struct {
	*vmrunner.Runner[VMFaults]
	opt     Options
	engines map[string]*engine
	done    chan struct{}
	closing sync.Once

	mut sync.Mutex
	rnd *rand.Rand
	aud auditor
}

// New returns a simulator of the engines that the inventory assigns to the fabric domain.
func New(opt Options) *Simulator {
	opt = opt.withDefaults()
	sim := &Simulator{
		opt: opt, engines: map[string]*engine{}, done: make(chan struct{}),
		rnd: rand.New(rand.NewSource(opt.EventLossSeed)), aud: auditor{},
	}
	sim.Runner = vmrunner.New[VMFaults](opt.Clock, opt.ControlAddress, sim.counts)
	for name, vm := range opt.Inventory.VMs {
		if vm.WorkerKind == cataloger.WorkerEngine && vm.Domain == opt.Domain {
			sim.engines[name] = newEngine(sim, name, vm)
		}
	}
	return sim
}

// Close closes all listeners and connections and stops all steps and weight transfers.
func (sim *Simulator) Close() {
	sim.closing.Do(func() { close(sim.done) })
	sim.Runner.Close()
}

// wait waits for the duration and reports false if the Simulator closes first.
func (sim *Simulator) wait(span time.Duration) bool {
	select {
	case <-sim.opt.Clock.After(span):
		return true
	case <-sim.done:
		return false
	}
}
