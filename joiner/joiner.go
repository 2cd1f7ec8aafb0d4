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
	firstBackoff  = time.Second
	lastBackoff   = time.Minute
)

// State is the folded state that a joiner watches.
type State interface {
	View() *reducer.View
	Changed() <-chan struct{}
	Founded() (string, bool)
}

// Appender appends records.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Judged, error)
}

// Options are what a joiner needs; OnRename is told each new incarnation.
type Options struct {
	Member   recorder.Member
	State    State
	Appender Appender
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	OnRename func(incarnation string)
}

// Joiner keeps one entry a member until it leaves.
type Joiner struct {
	opt     Options
	mtx     sync.Mutex
	member  recorder.Member
	leaving bool
}

// New returns a joiner with a fresh incarnation.
func New(opt Options) *Joiner {
	mem := opt.Member
	mem.Incarnation = newIncarnation()
	return &Joiner{opt: opt, member: mem}
}

// Member is the entry as it joins now.
func (joi *Joiner) Member() recorder.Member {
	joi.mtx.Lock()
	defer joi.mtx.Unlock()
	return joi.member
}

// Joined reports whether the fold holds this incarnation as a member.
func (joi *Joiner) Joined() bool {
	_, live := joi.opt.State.View().Members[joi.Member().Incarnation]
	return live
}

// Run joins, and joins anew under another incarnation after an eviction, until the context ends.
func (joi *Joiner) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		changed := joi.opt.State.Changed()
		if joi.Step(ctx) {
			joi.sleep(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		if joi.Joined() {
			backoff = firstBackoff
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-joi.opt.Clock.After(firstBackoff):
		}
	}
}

// Step joins when this entry should be a member and is none, and reports whether it tried.
func (joi *Joiner) Step(ctx context.Context) bool {
	if !joi.wants() {
		return false
	}
	joi.renew()
	joi.join(ctx)
	return true
}

func (joi *Joiner) wants() bool {
	joi.mtx.Lock()
	leaving := joi.leaving
	joi.mtx.Unlock()
	_, founded := joi.opt.State.Founded()
	return founded && !leaving && !joi.Joined() && !joi.Superseded()
}

// Superseded reports whether another run of this entry took its name after this one had joined.
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

func (joi *Joiner) renew() {
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
		joi.opt.Logger.WithError(err).Warn("join not settled")
		return
	}
	joi.opt.Logger.WithFields(logrus.Fields{"incarnation": mem.Incarnation, "offset": jud.Offset, "reason": jud.Reason}).Info("joined")
}

// Drain tells all entries that this one takes no more work; it returns once that is folded, or fails when the context ends.
func (joi *Joiner) Drain(ctx context.Context) error {
	joi.mtx.Lock()
	joi.leaving = true
	joi.mtx.Unlock()
	_, err := joi.propose(ctx, recorder.KindDrain, recorder.Departure{Incarnation: joi.Member().Incarnation, Reason: "planned stop"})
	return err
}

// Leave ends the membership; successor may name who holds the outcomes of this entry from now on.
func (joi *Joiner) Leave(ctx context.Context, successor string) error {
	dep := recorder.Departure{Incarnation: joi.Member().Incarnation, Reason: "planned stop", Successor: successor}
	_, err := joi.propose(ctx, recorder.KindLeave, dep)
	return err
}

func (joi *Joiner) propose(ctx context.Context, kind recorder.Kind, body any) (follower.Judged, error) {
	rec, err := recorder.New(joi.opt.Clock.Now(), kind, joi.Member().Incarnation, body)
	if err != nil {
		return follower.Judged{}, err
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
