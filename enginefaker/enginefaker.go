package enginefaker

import (
	"math/rand"
	"sync"
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

// Faker serves the model engines of all VMs in one fabric domain.
type Faker struct {
	*vmrunner.Runner[VMFaults]
	opt     Options
	engines map[string]*engine
	done    chan struct{}
	closing sync.Once

	mut sync.Mutex
	rnd *rand.Rand
	aud auditor
}

// New makes the engines that the inventory puts into the fabric domain.
func New(opt Options) *Faker {
	opt = opt.complete()
	fkr := &Faker{
		opt: opt, engines: map[string]*engine{}, done: make(chan struct{}),
		rnd: rand.New(rand.NewSource(opt.Seed)), aud: auditor{},
	}
	fkr.Runner = vmrunner.New[VMFaults](opt.Clock, opt.Control, fkr.counts)
	for name, vm := range opt.Inventory.VMs {
		if vm.Worker == cataloger.WorkerEngine && vm.Domain == opt.Domain {
			fkr.engines[name] = newEngine(fkr, name, vm)
		}
	}
	return fkr
}

// Close closes all listeners and connections and ends all steps.
func (fkr *Faker) Close() {
	fkr.closing.Do(func() { close(fkr.done) })
	fkr.Runner.Close()
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
