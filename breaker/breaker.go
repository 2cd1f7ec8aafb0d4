package breaker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of a breaker.
const (
	DefaultFailures = 3
	DefaultOpenFor  = time.Second
	DefaultMaxOpen  = 30 * time.Second
)

// State is the state of one backend server's circuit.
type State int

// The states of a circuit.
const (
	Closed State = iota
	Open
	HalfOpen
)

// Options say after how many failures in a row a circuit opens, and for how long at first and at most.
type Options struct {
	Failures int
	OpenFor  time.Duration
	MaxOpen  time.Duration
	Clock    clockwork.Clock
}

// Breaker holds a circuit for each backend server; it is safe for concurrent use.
type Breaker struct {
	opt      Options
	mux      sync.Mutex
	circuits map[string]*circuit
}

type circuit struct {
	failures int
	open     bool
	openFor  time.Duration
	until    time.Time
}

// New returns a breaker with all circuits closed.
func New(opt Options) *Breaker {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.Failures <= 0 {
		opt.Failures = DefaultFailures
	}
	if opt.OpenFor <= 0 {
		opt.OpenFor = DefaultOpenFor
	}
	if opt.MaxOpen <= 0 {
		opt.MaxOpen = DefaultMaxOpen
	}
	opt.MaxOpen = max(opt.MaxOpen, opt.OpenFor)
	return &Breaker{opt: opt, circuits: map[string]*circuit{}}
}

// Allow reports whether a request may go to the server; on a half-open circuit it takes the one trial, which lapses when no outcome follows.
func (bre *Breaker) Allow(server string) bool {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	cir := bre.circuits[server]
	switch bre.stateOf(cir) {
	case Closed:
		return true
	case HalfOpen:
		cir.until = bre.opt.Clock.Now().Add(cir.openFor)
		return true
	default:
		return false
	}
}

// State returns the state of the server's circuit and takes nothing.
func (bre *Breaker) State(server string) State {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	return bre.stateOf(bre.circuits[server])
}

// Open reports whether the server's circuit lets nothing pass.
func (bre *Breaker) Open(server string) bool {
	return bre.State(server) == Open
}

// Success closes the server's circuit.
func (bre *Breaker) Success(server string) {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	delete(bre.circuits, server)
}

// Failure counts a failure; it opens the circuit after enough of them in a row, and for twice as long after a failed trial.
func (bre *Breaker) Failure(server string) {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	cir := bre.circuits[server]
	if cir == nil {
		cir = &circuit{openFor: bre.opt.OpenFor}
		bre.circuits[server] = cir
	}
	cir.failures++
	if cir.open {
		cir.openFor = min(2*cir.openFor, bre.opt.MaxOpen)
	}
	if cir.open || cir.failures >= bre.opt.Failures {
		cir.open = true
		cir.until = bre.opt.Clock.Now().Add(cir.openFor)
	}
}

// Forget drops the circuit of a server that is gone or was started anew.
func (bre *Breaker) Forget(server string) {
	bre.Success(server)
}

func (bre *Breaker) stateOf(cir *circuit) State {
	if cir == nil || !cir.open {
		return Closed
	}
	if bre.opt.Clock.Now().Before(cir.until) {
		return Open
	}
	return HalfOpen
}
