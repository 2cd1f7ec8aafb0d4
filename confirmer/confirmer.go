package confirmer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

const (
	// MinInterval is the time between two checks in a small cluster. With AskTimeout for each of Asks requests, and a read of the store, it is within the shortest limit for changes, which is 2 s.
	MinInterval = 400 * time.Millisecond
	// Asks is how many entries are asked before the store is read.
	Asks = 2
	// AskTimeout limits one request.
	AskTimeout = 300 * time.Millisecond
	// checksPerSecond bounds the checks of all entries together, since few entries answer them.
	checksPerSecond = 100
	// ageAtAnswer is how old what a reader of the store knows may be when it answers: it waits 0.7 s for records and then pauses for a moment.
	ageAtAnswer = 900 * time.Millisecond
)

// ErrOutdated means that the entry that was asked is not up to date with the store itself.
const ErrOutdated = errors.ConstError("entry is not up to date with the store")

// Position is the offset of an era of the store up to which an entry knows a topic. Age is how long before its answer the store had nothing behind it, zero if the entry does not say.
type Position struct {
	Era int64
	End int64
	Age time.Duration
}

// Options configures a Confirmer. Follows reports whether this entry relies on others for what is in the store, and Sources returns those that it can ask, the best ones first. Ask requests the positions of an entry by topic; it fails with ErrOutdated, or if there is no answer. OnPositions receives them with the time of the request, and ReadStore has all topics read from the store. Others returns the number of other entries, and MaxAge how old what this entry knows may be; MaxAge may be nil.
type Options struct {
	Follows     func() bool
	Sources     func() []string
	Ask         func(ctx context.Context, entry string) (map[string]Position, error)
	OnPositions func(entry string, asked time.Time, positions map[string]Position)
	ReadStore   func()
	Others      func() int
	MaxAge      func() time.Duration
	Clock       clockwork.Clock
	Logger      *logrus.Entry
}

// Confirmer checks periodically what the entry knows.
type Confirmer struct {
	opt Options
}

// New returns a confirmer with the given options.
func New(opt Options) *Confirmer {
	return &Confirmer{opt: opt}
}

// Interval returns the time between two checks of an entry for a number of other entries.
func Interval(others int) time.Duration {
	return max(MinInterval, time.Duration(others)*time.Second/checksPerSecond)
}

// interval returns the time between two checks. The next one is due before the age of what this entry knows has it read the store.
func (cfm *Confirmer) interval() time.Duration {
	out := Interval(cfm.opt.Others())
	if cfm.opt.MaxAge == nil {
		return out
	}
	return min(out, max(MinInterval, cfm.opt.MaxAge()-ageAtAnswer))
}

// Run checks until the context ends. The checks of the entries are distributed over the interval, also of those that know of no others at their start.
func (cfm *Confirmer) Run(ctx context.Context) {
	interval := cfm.interval()
	for wait := rand.N(interval); ; {
		select {
		case <-ctx.Done():
			return
		case <-cfm.opt.Clock.After(wait):
		}
		before := interval
		if interval = cfm.interval(); interval >= 2*before {
			wait = rand.N(interval)
			continue
		}
		cfm.Check(ctx)
		wait = interval
	}
}

// Check asks for the positions of an entry that is up to date, and has the store read if none tells them.
func (cfm *Confirmer) Check(ctx context.Context) {
	if !cfm.opt.Follows() {
		return
	}
	sources := cfm.opt.Sources()
	for _, entry := range sources[:min(len(sources), Asks)] {
		if cfm.ask(ctx, entry) {
			return
		}
	}
	if ctx.Err() == nil {
		cfm.opt.ReadStore()
	}
}

func (cfm *Confirmer) ask(ctx context.Context, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	asked := cfm.opt.Clock.Now()
	positions, err := cfm.opt.Ask(ctx, entry)
	if err != nil {
		cfm.opt.Logger.WithError(err).WithField("source", entry).Info("an entry did not confirm the newest records")
		return false
	}
	cfm.opt.OnPositions(entry, asked, positions)
	return true
}
