package tailer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

const (
	// waitFor is how long one read of the store waits for a record, so that a connection which has gone silent is noticed within half of the shortest bound on changes, which is 2 s.
	waitFor = 700 * time.Millisecond
	// relayCheck is the time between two looks whether another entry still reads the store in place of this one.
	relayCheck = 250 * time.Millisecond
	// retryAfter is the pause after a failed read, and between questions to other entries: a third of the shortest bound on changes, which is 2 s.
	retryAfter = 300 * time.Millisecond
	// settleFor is how long after an outage a removal may be a lease that ran out unseen; heartbeats are back within 2 s of the store's return.
	settleFor = 2 * time.Second
	// gather is the pause between two reads while records arrive, so that a row of them costs one call.
	gather = 120 * time.Millisecond
	// keepRemoved is how long a removal is remembered for entries that ask; they ask every retryAfter.
	keepRemoved = time.Minute
)

// ErrExpired says that the store no longer retains the records that were asked for.
const ErrExpired = errors.ConstError("records have expired")

// Record is the newest value of a key; no value means that the key was removed.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Page is a row of records; End is the offset after the newest record of the topic.
type Page struct {
	End     int64
	Records []Record
	// Outage says that removals among the records may be leases that ran out while the store was away.
	Outage bool
}

// Store is the source of the topic; Read fails with ErrExpired when records from the offset on are no longer retained.
type Store interface {
	Newest(ctx context.Context, topic string) (Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
}

// Peers are the other entries.
type Peers interface {
	// Ask asks one of them for the records of a topic from an offset on.
	Ask(ctx context.Context, topic string, from int64) (Page, error)
	// Read reports whether enough others read the store, so that this entry need not.
	Read() bool
}

// Change is what a tailer tells: the records that are new, or with Whole all there are. Outage says that removals among them may be leases that ran out while the store was away.
type Change struct {
	Records []Record
	Whole   bool
	Outage  bool
}

// Options are what a tailer needs; OnChange is called by one goroutine at a time.
type Options struct {
	Topic    string
	Store    Store
	Peers    Peers
	Clock    clockwork.Clock
	Logger   *logrus.Entry
	OnChange func(cha Change)
}

// Tailer keeps one topic; it is safe for concurrent use.
type Tailer struct {
	opt     Options
	mux     sync.Mutex
	newest  map[string]held
	end     int64
	known   bool
	contact time.Time
	outage  time.Time
	failed  bool
	news    chan struct{}
}

type held struct {
	Record
	at time.Time
}

// New returns a tailer that has read nothing.
func New(opt Options) *Tailer {
	return &Tailer{opt: opt, newest: map[string]held{}, news: make(chan struct{}, 1)}
}

// Run follows the topic until the context ends.
func (tai *Tailer) Run(ctx context.Context) {
	relays := true
	for ctx.Err() == nil {
		if now := tai.opt.Peers.Read(); now != relays {
			relays = now
			tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "reads": !relays}).Info("source of a topic changed")
		}
		if relays {
			tai.relay(ctx)
			continue
		}
		err := tai.Step(ctx)
		pause := gather
		if err != nil {
			tai.fail(err)
			tai.askPeer(ctx)
			pause = retryAfter
		}
		select {
		case <-ctx.Done():
		case <-tai.opt.Clock.After(pause):
		}
	}
}

// Poke tells that another entry knows the topic up to an offset.
func (tai *Tailer) Poke(end int64) {
	tai.mux.Lock()
	ahead := end > tai.end
	tai.mux.Unlock()
	if !ahead {
		return
	}
	select {
	case tai.news <- struct{}{}:
	default:
	}
}

// End is the offset up to which the topic is known.
func (tai *Tailer) End() int64 {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.end
}

// relay waits for news that another entry has read, and asks for it.
func (tai *Tailer) relay(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-tai.news:
		tai.askPeer(ctx)
	case <-tai.opt.Clock.After(relayCheck):
	}
}

// Step reads the store once.
func (tai *Tailer) Step(ctx context.Context) error {
	tai.mux.Lock()
	known, from := tai.known, tai.end
	tai.mux.Unlock()
	if known {
		pag, err := tai.opt.Store.Read(ctx, tai.opt.Topic, from, waitFor)
		if err == nil {
			tai.take(pag, false)
			tai.restored()
			return nil
		}
		if !errors.Is(err, ErrExpired) {
			return err
		}
		tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "from": from}).Info("records have expired, the whole topic is read")
	}
	pag, err := tai.opt.Store.Newest(ctx, tai.opt.Topic)
	if err != nil {
		return err
	}
	tai.take(pag, true)
	tai.restored()
	return nil
}

// Since returns the newest records from an offset on, with removals; it fails with errors.NotFound before the topic is known.
func (tai *Tailer) Since(from int64) (Page, error) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if !tai.known {
		return Page{}, errors.NotFoundf("tailer: topic %s", tai.opt.Topic)
	}
	out := Page{End: tai.end, Outage: tai.inOutage()}
	for _, hel := range tai.newest {
		if hel.Offset >= from {
			out.Records = append(out.Records, hel.Record)
		}
	}
	return out, nil
}

// Age is how long ago the store last confirmed that the state is up to date; known is false before it ever did, and when its last answer was none.
func (tai *Tailer) Age() (age time.Duration, known bool) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	return tai.opt.Clock.Since(tai.contact), !tai.contact.IsZero() && !tai.failed
}

// inOutage reports whether removals may be leases that ran out while the store was away.
func (tai *Tailer) inOutage() bool {
	return tai.failed || !tai.outage.IsZero() && tai.opt.Clock.Since(tai.outage) < settleFor
}

func (tai *Tailer) askPeer(ctx context.Context) {
	tai.mux.Lock()
	from := tai.end
	tai.mux.Unlock()
	ctx, cancel := context.WithTimeout(ctx, retryAfter)
	defer cancel()
	pag, err := tai.opt.Peers.Ask(ctx, tai.opt.Topic, from)
	if err != nil {
		tai.opt.Logger.WithError(err).WithField("topic", tai.opt.Topic).Info("no entry could tell the newest records")
		return
	}
	tai.take(pag, false)
}

// take keeps the records of a page that are newer than what is known, and tells them.
func (tai *Tailer) take(pag Page, whole bool) {
	tai.mux.Lock()
	now := tai.opt.Clock.Now()
	cha := Change{Whole: whole, Outage: pag.Outage || tai.inOutage()}
	if whole && pag.End < tai.end {
		tai.mux.Unlock()
		return
	}
	if whole {
		tai.markRemoved(pag, now)
	}
	for _, rec := range pag.Records {
		if old, have := tai.newest[rec.Key]; rec.Key == "" || have && old.Offset >= rec.Offset && !whole {
			continue
		}
		tai.newest[rec.Key] = held{Record: rec, at: now}
		cha.Records = append(cha.Records, rec)
	}
	tai.end, tai.known = max(tai.end, pag.End), true
	for key, hel := range tai.newest {
		if hel.Value == nil && now.Sub(hel.at) > keepRemoved {
			delete(tai.newest, key)
		}
	}
	tai.mux.Unlock()
	if whole || len(cha.Records) > 0 {
		tai.opt.OnChange(cha)
	}
}

// markRemoved remembers as removed what a whole page lacks.
func (tai *Tailer) markRemoved(pag Page, now time.Time) {
	listed := map[string]bool{}
	for _, rec := range pag.Records {
		listed[rec.Key] = true
	}
	for key, hel := range tai.newest {
		if !listed[key] && hel.Value != nil {
			tai.newest[key] = held{Record: Record{Key: key, Offset: max(pag.End-1, hel.Offset)}, at: now}
		}
	}
}

func (tai *Tailer) fail(err error) {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	if !tai.failed {
		tai.opt.Logger.WithError(err).WithField("topic", tai.opt.Topic).Warn("store lost")
	}
	tai.failed = true
}

func (tai *Tailer) restored() {
	tai.mux.Lock()
	defer tai.mux.Unlock()
	now := tai.opt.Clock.Now()
	if tai.failed {
		tai.opt.Logger.WithFields(logrus.Fields{"topic": tai.opt.Topic, "end": tai.end}).Info("store regained")
		tai.outage = now
	}
	tai.failed, tai.contact = false, now
}
