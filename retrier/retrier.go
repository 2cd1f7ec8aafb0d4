package retrier

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of Options.
const (
	DefaultRatio = 0.2
	DefaultBurst = 10
	DefaultBase  = 50 * time.Millisecond
	DefaultMax   = 2 * time.Second
)

// Options set the retries earned per success (Ratio), the capacity of the budget (Burst), the upper bound of the first backoff (Base), the limit of that bound (Max) and the seed of the jitter.
type Options struct {
	Ratio float64
	Burst float64
	Base  time.Duration
	Max   time.Duration
	Seed  uint64
}

// Retrier holds the retry budget of one entry; it is safe for concurrent use.
type Retrier struct {
	opt    Options
	mux    sync.Mutex
	tokens float64
	rnd    *rand.Rand
}

// New returns a retrier with a full budget.
func New(opt Options) *Retrier {
	if opt.Ratio <= 0 {
		opt.Ratio = DefaultRatio
	}
	if opt.Burst <= 0 {
		opt.Burst = DefaultBurst
	}
	if opt.Base <= 0 {
		opt.Base = DefaultBase
	}
	if opt.Max <= 0 {
		opt.Max = DefaultMax
	}
	return &Retrier{opt: opt, tokens: opt.Burst, rnd: rand.New(rand.NewPCG(opt.Seed, opt.Seed))}
}

// Success adds Ratio retries to the budget, up to Burst.
func (ret *Retrier) Success() {
	ret.mux.Lock()
	defer ret.mux.Unlock()
	ret.tokens = min(ret.tokens+ret.opt.Ratio, ret.opt.Burst)
}

// Allow takes one retry from the budget, or returns false if the budget is used up.
func (ret *Retrier) Allow() bool {
	ret.mux.Lock()
	defer ret.mux.Unlock()
	if ret.tokens < 1 {
		return false
	}
	ret.tokens--
	return true
}

// Backoff returns a random delay below a bound that starts at Base and doubles with each attempt up to Max; the first attempt is 0.
func (ret *Retrier) Backoff(attempt int) time.Duration {
	bound := ret.opt.Base
	for range attempt {
		bound = min(2*bound, ret.opt.Max)
	}
	bound = min(bound, ret.opt.Max)
	ret.mux.Lock()
	defer ret.mux.Unlock()
	return time.Duration(ret.rnd.Int64N(int64(bound)))
}
