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

// Where the state of a follower came from.
const (
	BootNone     = "none"
	BootLog      = "log"
	BootSnapshot = "snapshot"
	BootPeer     = "peer"
)

const (
	readLimit  = 500
	readWait   = 500 * time.Millisecond
	readSlack  = 2 * time.Second
	readPause  = 200 * time.Millisecond
	keepTail   = 2048
	keepJudged = 8192
)

// Log is the part of the log service that a follower reads.
type Log interface {
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (logcaller.Page, error)
}

// Peers gives a state that another entry holds, when the log can't.
type Peers interface {
	Snapshot(ctx context.Context) (recorder.Snapshot, error)
}

// Options are what a follower needs.
type Options struct {
	Log    Log
	Peers  Peers
	Clock  clockwork.Clock
	Logger logrus.FieldLogger
	OnFold func(ent recorder.Entry, rea reducer.Reason)
}

// Judged is the fold's verdict on a record.
type Judged struct {
	Offset   int64
	Reason   reducer.Reason
	Revision int64
}

// Follower holds the folded state of one entry.
type Follower struct {
	opt  Options
	view atomic.Pointer[reducer.View]

	mtx     sync.Mutex
	state   *reducer.State
	founded bool
	booted  string
	contact time.Time
	tail    []recorder.Entry
	judged  map[string]Judged
	order   []string
	waits   map[string][]chan Judged
	changed chan struct{}
	search  []recorder.Entry
	scanned int64
	begins  int64
}

// New returns a follower that has folded nothing.
func New(opt Options) *Follower {
	fol := &Follower{
		opt:     opt,
		state:   reducer.NewState(),
		booted:  BootNone,
		judged:  map[string]Judged{},
		waits:   map[string][]chan Judged{},
		changed: make(chan struct{}),
	}
	fol.view.Store(fol.state.View())
	return fol
}

// Run follows the log until the context ends; it starts from a peer's state where there is one.
func (fol *Follower) Run(ctx context.Context) {
	fol.adoptPeer(ctx, 0)
	for ctx.Err() == nil {
		err := fol.Step(ctx, readWait)
		if err == nil {
			continue
		}
		fol.opt.Logger.WithError(err).Debug("log not read")
		if _, founded := fol.Founded(); !founded {
			fol.adoptPeer(ctx, 0)
		}
		fol.pause(ctx)
	}
}

// Step reads the log once, folds what came, and heals a gap; it fails when the log could not be read.
func (fol *Follower) Step(ctx context.Context, wait time.Duration) error {
	asked := fol.opt.Clock.Now()
	from := fol.nextRead()
	reading, stop := context.WithTimeout(ctx, wait+readSlack)
	defer stop()
	pag, err := fol.opt.Log.Read(reading, from, readLimit, wait)
	if gon, gone := errors.AsType[*logcaller.GoneError](err); gone {
		return fol.heal(ctx, gon.First)
	}
	if err != nil {
		return errors.Annotate(err, "follower: read log")
	}
	return fol.take(pag, from, asked)
}

func (fol *Follower) take(pag logcaller.Page, from int64, asked time.Time) error {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if pag.Next < from {
		return errors.NotValidf("follower: log that ends at %d before the folded offset %d", pag.Next, from-1)
	}
	if !fol.founded {
		fol.scan(pag)
	} else {
		fol.fold(pag.Entries)
	}
	if fol.founded && fol.state.Offset+1 >= pag.Next && asked.After(fol.contact) {
		fol.contact = asked
	}
	return nil
}

func (fol *Follower) nextRead() int64 {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.founded && fol.scanned > 0 {
		return fol.scanned + 1
	}
	return fol.state.Offset + 1
}

// Relay folds records that a peer passed on, and counts contact with the log as the peer had it.
func (fol *Follower) Relay(entries []recorder.Entry, peerOffset int64, contact time.Time) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.founded {
		return
	}
	fol.fold(entries)
	if fol.state.Offset >= peerOffset && contact.After(fol.contact) {
		fol.contact = contact
	}
}

func (fol *Follower) fold(entries []recorder.Entry) {
	folded := false
	for _, ent := range entries {
		if ent.Offset != fol.state.Offset+1 {
			continue
		}
		rea := fol.state.Apply(ent)
		fol.judge(ent, rea)
		fol.tail = append(fol.tail, ent)
		folded = true
	}
	if !folded {
		return
	}
	if len(fol.tail) > 2*keepTail {
		fol.tail = append([]recorder.Entry{}, fol.tail[len(fol.tail)-keepTail:]...)
	}
	fol.publish()
}

func (fol *Follower) publish() {
	fol.view.Store(fol.state.View())
	close(fol.changed)
	fol.changed = make(chan struct{})
}

func (fol *Follower) judge(ent recorder.Entry, rea reducer.Reason) {
	jud := Judged{Offset: ent.Offset, Reason: rea, Revision: fol.state.Revision}
	id := ent.Record.ID
	if old, known := fol.judged[id]; known && rea == reducer.ReasonDuplicate {
		jud = old
	} else {
		fol.judged[id] = jud
		fol.order = append(fol.order, id)
	}
	if len(fol.order) > keepJudged {
		delete(fol.judged, fol.order[0])
		fol.order = fol.order[1:]
	}
	for _, wai := range fol.waits[id] {
		wai <- jud
	}
	delete(fol.waits, id)
	if fol.opt.OnFold != nil {
		fol.opt.OnFold(ent, rea)
	}
}

func (fol *Follower) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-fol.opt.Clock.After(readPause):
	}
}
