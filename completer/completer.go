package completer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/streamer"
	"github.com/lovagelever/lovagelever/ticketer"
)

const (
	maxStarts    = 5
	maxRefused   = 4
	stallAfter   = 3 * time.Second
	checkTimeout = time.Second
	retryAfter   = time.Second
)

// Call is one chat completion; Body is what the engine gets, and Content names the request whatever its ID.
type Call struct {
	RequestID string
	Workspace string
	Model     string
	Prompt    string
	MaxTokens int
	Content   []byte
	Body      []byte
	Deadline  time.Time
}

// Tickets acquires tickets from the homes of units and releases them.
type Tickets interface {
	Acquire(ctx context.Context, req admitter.Request) (ticketer.HeldTicket, error)
	Release(hel ticketer.HeldTicket, out limiter.Outcome)
}

// Engines streams completions.
type Engines interface {
	Stream(ctx context.Context, cal streamer.Call, sink streamer.Sink) (streamer.Result, error)
}

// Checker asks a backend server for its status.
type Checker interface {
	Status(ctx context.Context, vm, address string) (prober.Status, error)
}

// Balancer picks a unit.
type Balancer interface {
	Pick(req balancer.Request, cands []balancer.Candidate) (balancer.Candidate, bool)
}

// Breaker learns how the attempts at a unit end.
type Breaker interface {
	Success(unit string)
	Failure(unit string)
}

// Budget bounds the attempts after the first.
type Budget interface {
	Success()
	Allow() bool
	Backoff(attempt int) time.Duration
}

// Options are what a completer needs; Candidates lists the groups of a model that serve.
type Options struct {
	View       func() *reducer.View
	Candidates func(vie *reducer.View, model string) []balancer.Candidate
	Tickets    Tickets
	Engines    Engines
	Checker    Checker
	Balancer   Balancer
	Breaker    Breaker
	Budget     Budget
	Quarantine *quarantiner.Quarantiner
	Clock      clockwork.Clock
	Logger     logrus.FieldLogger
	Queue      time.Duration
	Zone       string
}

// Completer runs completions for one entry.
type Completer struct {
	opt Options
}

// New returns a completer.
func New(opt Options) *Completer {
	return &Completer{opt: opt}
}

// Complete runs a call and passes its tokens to the sink, each once and in order; it fails with a refuser.Refusal.
func (com *Completer) Complete(ctx context.Context, cal Call, sink streamer.Sink) (streamer.Result, error) {
	ctx, stop := context.WithDeadline(ctx, cal.Deadline)
	defer stop()
	one := &run{
		com:   com,
		cal:   cal,
		fpr:   quarantiner.Fingerprint(cal.Workspace, cal.Model, cal.Content),
		sink:  &counter{sink: sink, clk: com.opt.Clock},
		tried: map[string]bool{},
	}
	for {
		res, done, err := one.attempt(ctx)
		if done {
			return res, err
		}
	}
}
