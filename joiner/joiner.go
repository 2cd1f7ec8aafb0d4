package joiner

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	appendTimeout = 5 * time.Second
	minBackoff    = time.Second
	maxBackoff    = time.Minute
)

// State is the replicated log state that a joiner watches; Bootstrapped reports whether there is any state yet.
type State interface {
	View() *reducer.View
	Changed() <-chan struct{}
	Bootstrapped() (string, bool)
}

// Appender appends records to the log and returns the verdicts on them.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Verdict, error)
}

// Options configures a Joiner; OnRename is called with each new incarnation.
type Options struct {
	Member   recorder.Member
	State    State
	Appender Appender
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	OnRename func(incarnation string)
}

// Joiner keeps one entry a member until it leaves; it is safe for concurrent use.
type Joiner struct {
	opt     Options
	mtx     sync.Mutex
	member  recorder.Member
	leaving bool
}

// New returns a joiner with a new incarnation.
func New(opt Options) *Joiner {
	mem := opt.Member
	mem.Incarnation = newIncarnation()
	return &Joiner{opt: opt, member: mem}
}

// Member returns the entry with its current incarnation.
func (joi *Joiner) Member() recorder.Member {
	joi.mtx.Lock()
	defer joi.mtx.Unlock()
	return joi.member
}

// Joined reports whether the current incarnation is a member in the log state.
func (joi *Joiner) Joined() bool {
	_, live := joi.opt.State.View().Members[joi.Member().Incarnation]
	return live
}

// Run joins, and rejoins under a new incarnation after an eviction, until the context ends.
func (joi *Joiner) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		changed := joi.opt.State.Changed()
		if joi.Step(ctx) {
			joi.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if joi.Joined() {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-joi.opt.Clock.After(minBackoff):
		}
	}
}

// Step tries to join if this entry should be a member and is not, and reports whether it tried.
func (joi *Joiner) Step(ctx context.Context) bool {
	if !joi.shouldJoin() {
		return false
	}
	joi.renewIncarnation()
	joi.join(ctx)
	return true
}

func (joi *Joiner) shouldJoin() bool {
	joi.mtx.Lock()
	leaving := joi.leaving
	joi.mtx.Unlock()
	_, bootstrapped := joi.opt.State.Bootstrapped()
	return bootstrapped && !leaving && !joi.Joined() && !joi.Superseded()
}

// Superseded reports whether another process took over the name of this entry after this one had joined.
func (joi *Joiner) Superseded() bool {
	mem := joi.Member()
	vie := joi.opt.State.View()
	if _, gone := vie.Departed[mem.Incarnation]; !gone {
		return false
	}
	for inc, oth := range vie.Members {
		if oth.Name == mem.Name && inc != mem.Incarnation {
			return true
		}
	}
	return false
}

func (joi *Joiner) renewIncarnation() {
	mem := joi.Member()
	if _, gone := joi.opt.State.View().Departed[mem.Incarnation]; !gone {
		return
	}
	joi.mtx.Lock()
	joi.member.Incarnation = newIncarnation()
	inc := joi.member.Incarnation
	joi.mtx.Unlock()
	joi.opt.OnRename(inc)
}

func (joi *Joiner) join(ctx context.Context) {
	mem := joi.Member()
	jud, err := joi.propose(ctx, recorder.KindJoin, mem)
	if err != nil {
		joi.opt.Logger.WithError(err).Warn("join record was not confirmed")
		return
	}
	joi.opt.Logger.WithFields(logrus.Fields{"incarnation": mem.Incarnation, "offset": jud.Offset, "reason": jud.Reason}).Info("joined")
}

// Drain announces that this entry accepts no new work; it returns once that record is applied, or fails when the context
// ends or after 5 s.
func (joi *Joiner) Drain(ctx context.Context) error {
	joi.mtx.Lock()
	joi.leaving = true
	joi.mtx.Unlock()
	_, err := joi.propose(ctx, recorder.KindDrain, recorder.Departure{Incarnation: joi.Member().Incarnation, Reason: "planned stop"})
	return err
}

// Leave ends the membership; successor may name the entry that holds the outcomes of this one from then on.
func (joi *Joiner) Leave(ctx context.Context, successor string) error {
	dep := recorder.Departure{Incarnation: joi.Member().Incarnation, Reason: "planned stop", Successor: successor}
	_, err := joi.propose(ctx, recorder.KindLeave, dep)
	return err
}

func (joi *Joiner) propose(ctx context.Context, kind recorder.Kind, body any) (follower.Verdict, error) {
	rec, err := recorder.New(joi.opt.Clock.Now(), kind, joi.Member().Incarnation, body)
	if err != nil {
		return follower.Verdict{}, err
	}
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	return joi.opt.Appender.Append(ctx, rec)
}

func (joi *Joiner) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-joi.opt.Clock.After(pause):
	}
}

func newIncarnation() string {
	return uuid.NewString()[:13]
}
