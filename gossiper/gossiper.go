package gossiper

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	maxWait      = 5 * time.Second
	meshUpTo     = 16
	fingersCheck = 500 * time.Millisecond
	// unseenAfter is how many intervals of silence make a member unseen.
	unseenAfter = 2
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

// Peers calls other entries by their addresses.
type Peers interface {
	Exchange(ctx context.Context, address string, req Request) (Answer, error)
	Snapshot(ctx context.Context, address string) (recorder.Snapshot, error)
}

// Options are what a gossiper needs; Interval is how long a peer may hold a pull.
type Options struct {
	State        State
	Peers        Peers
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
	cursors map[string]cursor
	hear    map[string]time.Time
	offsets map[string]int64
	current map[string]time.Time
	pulls   map[string]context.CancelFunc
}

// cursor is how far the facts of a peer are known while certain origins were asked for.
type cursor struct {
	at     uint64
	unseen string
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
		cursors: map[string]cursor{},
		hear:    map[string]time.Time{},
		offsets: map[string]int64{},
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
			gos.hold(fac.Fact, self)
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

// Round pulls from every finger once, one after the other, without waiting for news.
func (gos *Gossiper) Round(ctx context.Context) {
	gos.sweep()
	for _, pee := range gos.fingers() {
		if err := gos.pull(ctx, pee, 0); err != nil {
			gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("peer not pulled")
		}
	}
}

func (gos *Gossiper) keepPulling(ctx context.Context, pee peer) {
	for ctx.Err() == nil {
		pause := minInterval
		if err := gos.pull(ctx, pee, gos.opt.Interval); err != nil {
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

// cursorOf is how far the facts of a peer are known, or 0 when other origins are asked for than last time.
func (gos *Gossiper) cursorOf(inc, unseen string) uint64 {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if cur := gos.cursors[inc]; cur.unseen == unseen {
		return cur.at
	}
	return 0
}

func (gos *Gossiper) setCursor(inc string, cur cursor) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	gos.cursors[inc] = cur
}

// unseen says whether facts must be relayed for all, or else which members this entry has not heard lately.
func (gos *Gossiper) unseen(now time.Time) (bool, []string) {
	members := gos.opt.State.View().Members
	if len(members) > meshUpTo {
		return true, nil
	}
	var out []string
	for _, inc := range slices.Sorted(maps.Keys(members)) {
		if inc != gos.Self() && now.Sub(gos.Heard(inc)) > unseenAfter*gos.opt.Interval {
			out = append(out, inc)
		}
	}
	return false, out
}
