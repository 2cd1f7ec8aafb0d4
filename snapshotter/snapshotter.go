package snapshotter

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	checkEvery    = time.Second
	appendTimeout = 10 * time.Second
)

// State is the folded state that is snapshotted.
type State interface {
	View() *reducer.View
	Snapshot() (recorder.Snapshot, error)
}

// Appender appends records.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Judged, error)
}

// Options are what a snapshotter needs; Every is the number of records between two snapshots, and Within the longest time, since the log forgets by age too; zero is no bound.
type Options struct {
	State    State
	Self     func() string
	Appender Appender
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	Every    int64
	Within   time.Duration
}

// Snapshotter appends the snapshots while the fold assigns that to this entry.
type Snapshotter struct {
	opt     Options
	covered int64
	since   time.Time
}

// New returns a snapshotter.
func New(opt Options) *Snapshotter {
	return &Snapshotter{opt: opt, since: opt.Clock.Now()}
}

// Run checks until the context ends whether a snapshot is due.
func (sna *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := sna.Check(ctx); err != nil {
			sna.opt.Logger.WithError(err).Warn("snapshot not settled")
		}
		select {
		case <-ctx.Done():
		case <-sna.opt.Clock.After(checkEvery):
		}
	}
}

// due reports whether the newest snapshot is too many records or too long ago.
func (sna *Snapshotter) due(vie *reducer.View) bool {
	now := sna.opt.Clock.Now()
	if vie.Covered != sna.covered {
		sna.covered, sna.since = vie.Covered, now
	}
	late := sna.opt.Within > 0 && now.Sub(sna.since) >= sna.opt.Within
	return vie.Offset-vie.Covered >= sna.opt.Every || vie.Offset > 0 && late
}

// Check appends a snapshot when it is due and this entry's duty.
func (sna *Snapshotter) Check(ctx context.Context) error {
	vie := sna.opt.State.View()
	if !sna.due(vie) || vie.Snapshots.Incarnation != sna.opt.Self() {
		return nil
	}
	body, err := sna.opt.State.Snapshot()
	if err != nil {
		return errors.Annotate(err, "snapshotter: encode")
	}
	rec, err := recorder.New(sna.opt.Clock.Now(), recorder.KindSnapshot, sna.opt.Self(), body)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()
	jud, err := sna.opt.Appender.Append(ctx, rec)
	if err != nil {
		return errors.Trace(err)
	}
	sna.opt.Logger.WithFields(logrus.Fields{"covers": body.Covers, "offset": jud.Offset, "bytes": len(body.State)}).Info("snapshot appended")
	return nil
}
