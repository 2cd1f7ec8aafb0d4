package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// Sources of a follower's initial state.
const (
	BootNone     = "none"
	BootLog      = "log"
	BootSnapshot = "snapshot"
	BootPeer     = "peer"
)

const (
	readLimit         = 500
	readWait          = 500 * time.Millisecond
	readTimeoutMargin = 2 * time.Second
	retryDelay        = 200 * time.Millisecond
	tailLength        = 2048
	maxVerdicts       = 8192
)

// Log is the part of the log service that a follower reads.
type Log interface {
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (logcaller.Page, error)
}

// Peers returns the state of another entry, for when the log no longer has the records needed.
type Peers interface {
	Snapshot(ctx context.Context) (recorder.Snapshot, error)
}

// Options configures a Follower; Peers and OnApply may be nil, and OnApply is called after each record with the follower locked.
type Options struct {
	Log     Log
	Peers   Peers
	Clock   clockwork.Clock
	Logger  logrus.FieldLogger
	OnApply func(ent recorder.Entry, rea reducer.Reason)
}

// Verdict is the result of applying a record: its offset, the reason if it was rejected, and the catalog revision after it.
type Verdict struct {
	Offset   int64
	Reason   reducer.Reason
	Revision int64
}

// Follower keeps the control state of one entry up to date with the log.
type Follower struct {
	opt  Options
	view atomic.Pointer[reducer.View]

	mtx            sync.Mutex
	state          *reducer.State
	bootstrapped   bool
	bootSource     string
	lastContact    time.Time
	tail           []recorder.Entry
	verdicts       map[string]Verdict
	verdictOrder   []string
	waiters        map[string][]chan Verdict
	changed        chan struct{}
	scannedEntries []recorder.Entry
	scannedTo      int64
	firstRetained  int64
}

// New returns a follower with an empty state.
func New(opt Options) *Follower {
	fol := &Follower{
		opt:        opt,
		state:      reducer.NewState(),
		bootSource: BootNone,
		verdicts:   map[string]Verdict{},
		waiters:    map[string][]chan Verdict{},
		changed:    make(chan struct{}),
	}
	fol.view.Store(fol.state.View())
	return fol
}

// Run follows the log until the context ends, starting from a peer's state if one is available.
func (fol *Follower) Run(ctx context.Context) {
	fol.loadPeerSnapshot(ctx, 0)
	for ctx.Err() == nil {
		err := fol.ReadAndApply(ctx, readWait)
		if err == nil {
			continue
		}
		fol.opt.Logger.WithError(err).Debug("cannot read the log")
		if _, bootstrapped := fol.Bootstrapped(); !bootstrapped {
			fol.loadPeerSnapshot(ctx, 0)
		}
		fol.waitRetry(ctx)
	}
}

// ReadAndApply reads the log once and applies the records; if the next records are no longer retained, it catches up from a snapshot.
// It returns an error if the log can't be read.
func (fol *Follower) ReadAndApply(ctx context.Context, wait time.Duration) error {
	readAt := fol.opt.Clock.Now()
	from := fol.nextRead()
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	pag, err := fol.opt.Log.Read(readCtx, from, readLimit, wait)
	if goneErr, gone := errors.AsType[*logcaller.GoneError](err); gone {
		return fol.skipGap(ctx, goneErr.First)
	}
	if err != nil {
		return errors.Annotate(err, "follower: read log")
	}
	return fol.applyPage(pag, from, readAt)
}

func (fol *Follower) applyPage(pag logcaller.Page, from int64, readAt time.Time) error {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if pag.Next < from {
		return errors.NotValidf("follower: log that ends at %d before the folded offset %d", pag.Next, from-1)
	}
	if !fol.bootstrapped {
		fol.findBase(pag)
	} else {
		fol.applyEntries(pag.Entries)
	}
	if fol.bootstrapped && fol.state.Offset+1 >= pag.Next && readAt.After(fol.lastContact) {
		fol.lastContact = readAt
	}
	return nil
}

func (fol *Follower) nextRead() int64 {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.bootstrapped && fol.scannedTo > 0 {
		return fol.scannedTo + 1
	}
	return fol.state.Offset + 1
}

// ApplyRelayed applies records received from a peer, and takes over the peer's time of last contact with the log once the peer's offset is reached.
func (fol *Follower) ApplyRelayed(entries []recorder.Entry, peerOffset int64, contact time.Time) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.bootstrapped {
		return
	}
	fol.applyEntries(entries)
	if fol.state.Offset >= peerOffset && contact.After(fol.lastContact) {
		fol.lastContact = contact
	}
}

func (fol *Follower) applyEntries(entries []recorder.Entry) {
	changed := false
	for _, ent := range entries {
		if ent.Offset != fol.state.Offset+1 {
			continue
		}
		rea := fol.state.Apply(ent)
		fol.recordVerdict(ent, rea)
		fol.tail = append(fol.tail, ent)
		changed = true
	}
	if !changed {
		return
	}
	if len(fol.tail) > 2*tailLength {
		fol.tail = append([]recorder.Entry{}, fol.tail[len(fol.tail)-tailLength:]...)
	}
	fol.publishView()
}

func (fol *Follower) publishView() {
	fol.view.Store(fol.state.View())
	close(fol.changed)
	fol.changed = make(chan struct{})
}

func (fol *Follower) recordVerdict(ent recorder.Entry, rea reducer.Reason) {
	jud := Verdict{Offset: ent.Offset, Reason: rea, Revision: fol.state.Revision}
	id := ent.Record.ID
	if old, known := fol.verdicts[id]; known && rea == reducer.ReasonDuplicate {
		jud = old
	} else {
		fol.verdicts[id] = jud
		fol.verdictOrder = append(fol.verdictOrder, id)
	}
	if len(fol.verdictOrder) > maxVerdicts {
		delete(fol.verdicts, fol.verdictOrder[0])
		fol.verdictOrder = fol.verdictOrder[1:]
	}
	for _, wai := range fol.waiters[id] {
		wai <- jud
	}
	delete(fol.waiters, id)
	if fol.opt.OnApply != nil {
		fol.opt.OnApply(ent, rea)
	}
}

func (fol *Follower) waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-fol.opt.Clock.After(retryDelay):
	}
}
