package gossiper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	maxWait      = 5 * time.Second
	meshUpTo     = 16
	fingersCheck = 500 * time.Millisecond
)

// State is the folded state that entries keep each other up to date with.
type State interface {
	View() *reducer.View
	Changed() <-chan struct{}
	Contact() time.Time
	Tail(after int64, limit int) ([]recorder.Entry, bool)
	Relay(entries []recorder.Entry, peerOffset int64, contact time.Time)
	Adopt(sna recorder.Snapshot) error
}

// Options are what a gossiper needs; Interval is how long a peer may hold a pull.
type Options struct {
	State        State
	Messenger    *messenger.Messenger
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	Interval     time.Duration
	OnDivergence func()
}

// Gossiper exchanges facts with the peers of one entry.
type Gossiper struct {
	opt     Options
	stopped chan struct{}

	mtx     sync.Mutex
	self    string
	facts   map[factKey]heldFact
	version uint64
	changed chan struct{}
	cursors map[string]uint64
	hear    map[string]time.Time
	current map[string]time.Time
	pulls   map[string]context.CancelFunc
}

type peer struct {
	name        string
	incarnation string
	address     string
}

// New returns a gossiper for the incarnation self.
func New(opt Options, self string) *Gossiper {
	return &Gossiper{
		opt:     opt,
		stopped: make(chan struct{}),
		self:    self,
		facts:   map[factKey]heldFact{},
		changed: make(chan struct{}),
		cursors: map[string]uint64{},
		hear:    map[string]time.Time{},
		current: map[string]time.Time{},
		pulls:   map[string]context.CancelFunc{},
	}
}

// Self is the incarnation that the facts of this entry carry.
func (gos *Gossiper) Self() string {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	return gos.self
}

// Rename gives this entry a new incarnation; its facts are stated anew under it.
func (gos *Gossiper) Rename(self string) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for key, fac := range gos.facts {
		if key.origin == gos.self {
			delete(gos.facts, key)
			fac.Origin = self
			gos.hold(fac.Fact)
		}
	}
	gos.self = self
	gos.wake()
}

// Run pulls from the peers until the context ends.
func (gos *Gossiper) Run(ctx context.Context) {
	defer close(gos.stopped)
	for ctx.Err() == nil {
		gos.follow(ctx)
		gos.sweep()
		select {
		case <-ctx.Done():
		case <-gos.opt.Clock.After(fingersCheck):
		}
	}
}

func (gos *Gossiper) follow(ctx context.Context) {
	want := map[string]peer{}
	for _, pee := range gos.fingers() {
		want[pee.incarnation] = pee
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for inc, stop := range gos.pulls {
		if _, wanted := want[inc]; !wanted {
			stop()
			delete(gos.pulls, inc)
		}
	}
	for inc, pee := range want {
		if _, running := gos.pulls[inc]; running {
			continue
		}
		pulling, stop := context.WithCancel(ctx)
		gos.pulls[inc] = stop
		go gos.keepPulling(pulling, pee)
	}
}

func (gos *Gossiper) keepPulling(ctx context.Context, pee peer) {
	for ctx.Err() == nil {
		pause := minInterval
		if err := gos.pull(ctx, pee); err != nil {
			gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("peer not pulled")
			pause = gos.opt.Interval / 2
		}
		select {
		case <-ctx.Done():
		case <-gos.opt.Clock.After(pause):
		}
	}
}

// fingers are the peers that this entry pulls from.
func (gos *Gossiper) fingers() []peer {
	ring := ringOf(gos.opt.State.View().Members)
	self := gos.Self()
	at := slices.IndexFunc(ring, func(pee peer) bool { return pee.incarnation == self })
	if at < 0 {
		return first(ring, meshUpTo)
	}
	var out []peer
	for _, dist := range distances(len(ring)) {
		out = append(out, ring[(at+dist)%len(ring)])
	}
	return out
}

// distances are the steps on a ring of the size: every one on a small ring, else the powers of two.
func distances(size int) []int {
	var out []int
	for dist := 1; dist < size; {
		out = append(out, dist)
		if size <= meshUpTo {
			dist++
		} else {
			dist *= 2
		}
	}
	return out
}

func ringOf(members map[string]reducer.Member) []peer {
	var ring []peer
	for inc, mem := range members {
		ring = append(ring, peer{name: mem.Name, incarnation: inc, address: mem.RPCAddress})
	}
	slices.SortFunc(ring, func(one, two peer) int {
		scoreOne, scoreTwo := assigner.Score("ring", one.name), assigner.Score("ring", two.name)
		if scoreOne != scoreTwo {
			if scoreOne < scoreTwo {
				return -1
			}
			return 1
		}
		return strings.Compare(one.incarnation, two.incarnation)
	})
	return ring
}

func first(ring []peer, count int) []peer {
	return ring[:min(count, len(ring))]
}

func (gos *Gossiper) heard(inc string, at time.Time) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if at.After(gos.hear[inc]) {
		gos.hear[inc] = at
	}
}

func (gos *Gossiper) cursorOf(inc string) uint64 {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	return gos.cursors[inc]
}

func (gos *Gossiper) setCursor(inc string, cursor uint64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	gos.cursors[inc] = cursor
}
