package servicefaker

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

const (
	defaultWork      = 5 * time.Millisecond
	defaultWarmAfter = 5 * time.Second
	defaultColdLimit = 4
	defaultWarmLimit = 64
)

// Options set up the VMs of one service; zero values take defaults, and an empty Control opens no control address.
type Options struct {
	Clock     clockwork.Clock
	Inventory cataloger.Inventory
	Service   string
	Control   string
	Work      time.Duration
	WarmAfter time.Duration
	ColdLimit int
	WarmLimit int
}

// VMFaults are the faults of one VM; LoseAnswers counts the next calls that run and get no answer.
type VMFaults struct {
	vmrunner.Life
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (opt Options) complete() Options {
	spec := opt.Inventory.Services[opt.Service]
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	opt.Work = first(opt.Work, defaultWork)
	opt.WarmAfter = first(opt.WarmAfter, defaultWarmAfter)
	opt.ColdLimit = first(opt.ColdLimit, spec.ColdLimit, defaultColdLimit)
	opt.WarmLimit = first(opt.WarmLimit, 2*spec.WarmLimit, defaultWarmLimit)
	return opt
}

func first[T time.Duration | int](vals ...T) T {
	for _, val := range vals {
		if val > 0 {
			return val
		}
	}
	return 0
}
