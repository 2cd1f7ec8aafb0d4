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

// Options configure the VMs of one service; zero values select defaults, and an empty ControlAddress disables the control API.
type Options struct {
	Clock          clockwork.Clock
	Inventory      cataloger.Inventory
	Service        string
	ControlAddress string
	CallDuration   time.Duration
	WarmAfter      time.Duration
	ColdLimit      int
	WarmLimit      int
}

// VMFaults are the faults of one VM; LoseAnswers is the number of next calls that are run but get no answer.
type VMFaults struct {
	vmrunner.CommonFaults
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (opt Options) withDefaults() Options {
	spec := opt.Inventory.Services[opt.Service]
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	opt.CallDuration = firstPositive(opt.CallDuration, defaultWork)
	opt.WarmAfter = firstPositive(opt.WarmAfter, defaultWarmAfter)
	opt.ColdLimit = firstPositive(opt.ColdLimit, spec.ColdLimit, defaultColdLimit)
	opt.WarmLimit = firstPositive(opt.WarmLimit, 2*spec.WarmLimit, defaultWarmLimit)
	return opt
}

func firstPositive[T time.Duration | int](vals ...T) T {
	for _, val := range vals {
		if val > 0 {
			return val
		}
	}
	return 0
}
