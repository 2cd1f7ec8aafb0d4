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

// Options are what a snapshotter needs; Every is the number of records between two snapshots.
type Options struct {
	State    State
	Self     func() string
	Appender Appender
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	Every    int64
}

// Snapshotter appends the snapshots while the fold assigns that to this entry.
type Snapshotter struct {
	opt Options
}

// New returns a snapshotter.
func New(opt Options) *Snapshotter {
	return &Snapshotter{opt: opt}
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

// Check appends a snapshot when it is due and this entry's duty.
func (sna *Snapshotter) Check(ctx context.Context) error {
	vie := sna.opt.State.View()
	if vie.Snapshots.Incarnation != sna.opt.Self() || vie.Offset-vie.Covered < sna.opt.Every {
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
