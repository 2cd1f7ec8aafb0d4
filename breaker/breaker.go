package breaker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of Options.
const (
	DefaultFailures = 3
	DefaultOpenFor  = time.Second
	DefaultMaxOpen  = 30 * time.Second
)

// State is the state of the circuit of a backend server.
type State int

// The states of a circuit: Closed passes all requests, Open none, and HalfOpen a single trial request.
const (
	Closed State = iota
	Open
	HalfOpen
)

// Options configures a Breaker; Failures, OpenFor and MaxOpen get their defaults if they are not positive.
type Options struct {
	Failures int           // consecutive failures that open a circuit
	OpenFor  time.Duration // how long a circuit is open at first
	MaxOpen  time.Duration // how long a circuit is open at most
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
	tripped  bool // open or half-open
	trial    bool // a trial request was admitted whose outcome is not reported
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

// Allow reports whether a request may be sent to the server; on a half-open circuit it admits a single trial request, and another one if the outcome of the first is not reported within the time for which the circuit last opened.
func (bre *Breaker) Allow(server string) bool {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	cir := bre.circuits[server]
	switch bre.stateOf(cir) {
	case Closed:
		return true
	case HalfOpen:
		cir.until, cir.trial = bre.opt.Clock.Now().Add(cir.openFor), true
		return true
	default:
		return false
	}
}

// State returns the state of the server's circuit without using up its trial request.
func (bre *Breaker) State(server string) State {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	return bre.stateOf(bre.circuits[server])
}

// IsOpen reports whether the server's circuit is open, so that no request may be sent.
func (bre *Breaker) IsOpen(server string) bool {
	return bre.State(server) == Open
}

// Success closes the server's circuit.
func (bre *Breaker) Success(server string) {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	delete(bre.circuits, server)
}

// Failure counts a failure and opens the circuit after Failures consecutive ones. After a failed trial request it opens the circuit for twice the previous time, at most MaxOpen. Failures of requests that were under way when the circuit opened say nothing new.
func (bre *Breaker) Failure(server string) {
	bre.mux.Lock()
	defer bre.mux.Unlock()
	cir := bre.circuits[server]
	if cir == nil {
		cir = &circuit{openFor: bre.opt.OpenFor}
		bre.circuits[server] = cir
	}
	if cir.tripped && !cir.trial {
		return
	}
	cir.failures++
	if cir.trial {
		cir.openFor = min(2*cir.openFor, bre.opt.MaxOpen)
	}
	if cir.trial || cir.failures >= bre.opt.Failures {
		cir.tripped, cir.trial = true, false
		cir.until = bre.opt.Clock.Now().Add(cir.openFor)
	}
}

// Forget resets the circuit of a server that was removed or restarted.
func (bre *Breaker) Forget(server string) {
	bre.Success(server)
}

func (bre *Breaker) stateOf(cir *circuit) State {
	if cir == nil || !cir.tripped {
		return Closed
	}
	if bre.opt.Clock.Now().Before(cir.until) {
		return Open
	}
	return HalfOpen
}
