package gossiper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	maxWait      = 5 * time.Second
	meshUpTo     = 16
	fingersCheck = 500 * time.Millisecond
	// unseenAfter is how many intervals of silence make a member unseen.
	unseenAfter = 2
	// cycle is in how many intervals each finger is pulled once where they take turns.
	cycle = 2
	// heldOnce is how many peers may each hold a pull for one interval.
	heldOnce = 8
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
	order   []ordered
	version uint64
	changed chan struct{}
	cursors map[string]cursor
	hear    map[string]time.Time
	offsets map[string]int64
	current map[string]time.Time
	pulls   map[string]context.CancelFunc
	busy    map[string]bool
	named   map[string][]byte
	turn    int
	ring    atomic.Pointer[ringAt]
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
		busy:    map[string]bool{},
		named:   map[string][]byte{},
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
	go gos.keepTurning(ctx)
	for ctx.Err() == nil {
		gos.follow(ctx)
		gos.sweep()
		gos.pause(ctx, fingersCheck)
	}
}

func (gos *Gossiper) pause(ctx context.Context, lasts time.Duration) {
	select {
	case <-ctx.Done():
	case <-gos.opt.Clock.After(lasts):
	}
}

// keepTurning pulls from one finger after the other on a ring that is no full mesh, each once a cycle.
func (gos *Gossiper) keepTurning(ctx context.Context) {
	for ctx.Err() == nil {
		fingers := gos.fingers()
		if gos.mesh() || len(fingers) == 0 {
			gos.pause(ctx, fingersCheck)
			continue
		}
		gos.turn = (gos.turn + 1) % len(fingers)
		if pee := fingers[gos.turn]; gos.begin(pee) {
			go gos.pullOnce(ctx, pee)
		}
		gos.pause(ctx, cycle*gos.opt.Interval/time.Duration(len(fingers)))
	}
}

// begin reports whether no pull from the peer is under way, and notes that one is now.
func (gos *Gossiper) begin(pee peer) bool {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if gos.busy[pee.incarnation] {
		return false
	}
	gos.busy[pee.incarnation] = true
	return true
}

func (gos *Gossiper) pullOnce(ctx context.Context, pee peer) {
	if err := gos.pull(ctx, pee, 0); err != nil {
		gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("peer not pulled")
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	delete(gos.busy, pee.incarnation)
}

func (gos *Gossiper) follow(ctx context.Context) {
	want := map[string]peer{}
	if gos.mesh() {
		for _, pee := range gos.fingers() {
			want[pee.incarnation] = pee
		}
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
		if err := gos.pull(ctx, pee, gos.holdTime()); err != nil {
			gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("peer not pulled")
			pause = gos.opt.Interval / 2
		}
		gos.pause(ctx, pause)
	}
}

// holdTime is how long a peer may hold a pull; it grows with the mesh, so that the traffic of an idle entry does not.
func (gos *Gossiper) holdTime() time.Duration {
	return gos.opt.Interval * time.Duration(max(heldOnce, len(gos.fingers()))) / heldOnce
}

func (gos *Gossiper) heard(inc string, at time.Time) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if at.After(gos.hear[inc]) {
		gos.hear[inc] = at
	}
}
