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
	maxHold            = 5 * time.Second
	maxMeshSize        = 16
	peersCheckInterval = 500 * time.Millisecond
	// unseenAfterHolds is after how many hold times without contact a member counts as unseen.
	unseenAfterHolds = 2
	// rotationIntervals is the number of intervals in which each peer is pulled once when peers are pulled in rotation.
	rotationIntervals = 2
	// peersPerHoldInterval is the number of peers up to which each may hold a pull for one interval; with more peers the
	// hold time grows in proportion.
	peersPerHoldInterval = 8
)

// State is the replicated log state that entries keep up to date among each other.
type State interface {
	View() *reducer.View
	Changed() <-chan struct{}
	LastContact() time.Time
	Tail(after int64, limit int) ([]recorder.Entry, bool)
	ApplyRelayed(entries []recorder.Entry, peerOffset int64, contact time.Time)
	InstallSnapshot(sna recorder.Snapshot) error
}

// Peers calls other entries by their RPC addresses.
type Peers interface {
	Exchange(ctx context.Context, address string, req Request) (Answer, error)
	Snapshot(ctx context.Context, address string) (recorder.Snapshot, error)
}

// Options configures a Gossiper; Interval is how long a peer may hold a pull, if there are no more than
// peersPerHoldInterval peers.
type Options struct {
	State        State
	Peers        Peers
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	Interval     time.Duration
	OnDivergence func()
}

// Gossiper exchanges facts with the peers of one entry; it is safe for concurrent use.
type Gossiper struct {
	opt     Options
	stopped chan struct{}

	mtx        sync.Mutex
	self       string
	facts      map[factKey]storedFact
	arrivals   []arrival
	version    uint64
	changed    chan struct{}
	cursors    map[string]cursor
	lastHeard  map[string]time.Time
	offsets    map[string]int64
	lastInSync map[string]time.Time
	pulls      map[string]context.CancelFunc
	inFlight   map[string]bool
	remembered map[string][]byte
	rotation   int
	ringCache  atomic.Pointer[cachedRing]
}

// New returns a gossiper for the entry with the incarnation self.
func New(opt Options, self string) *Gossiper {
	return &Gossiper{
		opt:        opt,
		stopped:    make(chan struct{}),
		self:       self,
		facts:      map[factKey]storedFact{},
		changed:    make(chan struct{}),
		cursors:    map[string]cursor{},
		lastHeard:  map[string]time.Time{},
		offsets:    map[string]int64{},
		lastInSync: map[string]time.Time{},
		pulls:      map[string]context.CancelFunc{},
		inFlight:   map[string]bool{},
		remembered: map[string][]byte{},
	}
}

// Self returns the incarnation that is the origin of this entry's facts.
func (gos *Gossiper) Self() string {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	return gos.self
}

// SetIncarnation gives this entry a new incarnation and publishes its facts again under it.
func (gos *Gossiper) SetIncarnation(self string) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for key, fac := range gos.facts {
		if key.origin == gos.self {
			delete(gos.facts, key)
			fac.Origin = self
			gos.store(fac.Fact, self)
		}
	}
	gos.self = self
	gos.notify()
}

// Run pulls from the peers until the context ends.
func (gos *Gossiper) Run(ctx context.Context) {
	defer close(gos.stopped)
	go gos.rotatePulls(ctx)
	for ctx.Err() == nil {
		gos.updatePulls(ctx)
		gos.removeDeparted()
		gos.sleep(ctx, peersCheckInterval)
	}
}

func (gos *Gossiper) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-gos.opt.Clock.After(duration):
	}
}

// rotatePulls pulls from one peer after the other while there are too many members for a full mesh, from each once in
// rotationIntervals.
func (gos *Gossiper) rotatePulls(ctx context.Context) {
	for ctx.Err() == nil {
		peers := gos.pullPeers()
		if gos.isMesh() || len(peers) == 0 {
			gos.sleep(ctx, peersCheckInterval)
			continue
		}
		gos.rotation = (gos.rotation + 1) % len(peers)
		if pee := peers[gos.rotation]; gos.startPull(pee) {
			go gos.pullOnce(ctx, pee)
		}
		gos.sleep(ctx, rotationIntervals*gos.opt.Interval/time.Duration(len(peers)))
	}
}

// startPull marks a pull from the peer as in flight; it reports false if there is one already.
func (gos *Gossiper) startPull(pee peer) bool {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if gos.inFlight[pee.incarnation] {
		return false
	}
	gos.inFlight[pee.incarnation] = true
	return true
}

func (gos *Gossiper) pullOnce(ctx context.Context, pee peer) {
	if err := gos.pull(ctx, pee, 0); err != nil {
		gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("pull from peer failed")
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	delete(gos.inFlight, pee.incarnation)
}

func (gos *Gossiper) updatePulls(ctx context.Context) {
	want := map[string]peer{}
	if gos.isMesh() {
		for _, pee := range gos.pullPeers() {
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
		go gos.pullLoop(pulling, pee)
	}
}

// PullAll pulls from every peer once, one after the other, and lets none of them hold the request.
func (gos *Gossiper) PullAll(ctx context.Context) {
	gos.removeDeparted()
	for _, pee := range gos.pullPeers() {
		if err := gos.pull(ctx, pee, 0); err != nil {
			gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("pull from peer failed")
		}
	}
}

func (gos *Gossiper) pullLoop(ctx context.Context, pee peer) {
	for ctx.Err() == nil {
		pause := minPullInterval
		if err := gos.pull(ctx, pee, gos.holdTime()); err != nil {
			gos.opt.Logger.WithError(err).WithField("peer", pee.name).Debug("pull from peer failed")
			pause = gos.opt.Interval / 2
		}
		gos.sleep(ctx, pause)
	}
}

// holdTime returns how long a peer may hold a pull. It grows with the number of peers, so that the traffic of an idle
// entry does not.
func (gos *Gossiper) holdTime() time.Duration {
	return gos.opt.Interval * time.Duration(max(peersPerHoldInterval, len(gos.pullPeers()))) / peersPerHoldInterval
}

func (gos *Gossiper) noteHeard(inc string, at time.Time) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if at.After(gos.lastHeard[inc]) {
		gos.lastHeard[inc] = at
	}
}
