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
	maxStarts     = 5
	maxRefusals   = 4
	stallTimeout  = 3 * time.Second
	statusTimeout = time.Second
	retryAfter    = time.Second
	// soundAfter is how long after its first token a request proves that it does not crash the engine, which crashes as it begins to write.
	soundAfter = 300 * time.Millisecond
)

// Call is one chat completion request; Body is sent to the engine, and Content identifies the same request under different request IDs.
type Call struct {
	RequestID string
	Workspace string
	Model     string
	Prompt    string
	MaxTokens int
	Content   []byte
	// PromptParts are the subjects of the parts of the prompt that other requests may share.
	PromptParts []string
	Body        []byte
	Deadline    time.Time
}

// Tickets acquires tickets from the homes of units and releases them.
type Tickets interface {
	Acquire(ctx context.Context, req admitter.Request) (ticketer.HeldTicket, error)
	Release(hel ticketer.HeldTicket, out limiter.Outcome)
}

// EngineClient streams completions from engines.
type EngineClient interface {
	Stream(ctx context.Context, cal streamer.Call, sink streamer.Sink) (streamer.Result, error)
}

// Checker queries the status of a backend server.
type Checker interface {
	Status(ctx context.Context, vm, address string) (prober.Status, error)
}

// Balancer picks the unit for an attempt; it reports false if there is none.
type Balancer interface {
	Pick(req balancer.Request, cands []balancer.Candidate) (balancer.Candidate, bool)
}

// Breaker records the result of each attempt at a unit.
type Breaker interface {
	Success(unit string)
	Failure(unit string)
}

// Budget limits retries and sets the delay before each.
type Budget interface {
	Success()
	Allow() bool
	Backoff(attempt int) time.Duration
}

// Options configures a Completer; Candidates lists the serving groups of a model, and MaxQueueTime is the longest time that an attempt waits for a ticket.
type Options struct {
	View         func() *reducer.View
	Candidates   func(vie *reducer.View, model string) []balancer.Candidate
	Tickets      Tickets
	Engines      EngineClient
	Checker      Checker
	Balancer     Balancer
	Breaker      Breaker
	Budget       Budget
	Quarantine   *quarantiner.Quarantiner
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	MaxQueueTime time.Duration
	Zone         string
}

// Completer runs chat completions for one entry.
type Completer struct {
	opt Options
}

// New returns a Completer with the given options.
func New(opt Options) *Completer {
	return &Completer{opt: opt}
}

// Complete runs a call and delivers its tokens to the sink, each once and in order; errors are of type refuser.Refusal.
func (com *Completer) Complete(ctx context.Context, cal Call, sink streamer.Sink) (streamer.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, cal.Deadline)
	defer cancel()
	exe := &execution{
		com:   com,
		cal:   cal,
		fpr:   quarantiner.Fingerprint(cal.Workspace, cal.Model, cal.Content),
		sink:  &countingSink{sink: sink, clk: com.opt.Clock},
		tried: map[string]bool{},
	}
	for {
		res, done, err := exe.attempt(ctx)
		if done {
			return res, err
		}
	}
}
