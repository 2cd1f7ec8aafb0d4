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
	checkInterval = time.Second
	appendTimeout = 10 * time.Second
)

// State provides the control state.
type State interface {
	View() *reducer.View
	Snapshot() (recorder.Snapshot, error)
}

// Appender appends records to the log and returns the result of applying them.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Verdict, error)
}

// Options configures a Snapshotter. A snapshot is due after EveryRecords records, or after the time MaxInterval,
// since the log drops records by age too; a zero MaxInterval sets no time limit.
type Options struct {
	State        State
	Self         func() string
	Appender     Appender
	Clock        clockwork.Clock
	Logger       logrus.FieldLogger
	EveryRecords int64
	MaxInterval  time.Duration
}

// Snapshotter appends snapshots while this entry is assigned to do so.
type Snapshotter struct {
	opt            Options
	snapshotOffset int64
	snapshotSeenAt time.Time
}

// New returns a Snapshotter.
func New(opt Options) *Snapshotter {
	return &Snapshotter{opt: opt, snapshotSeenAt: opt.Clock.Now()}
}

// Run calls Check once a second until the context ends.
func (sna *Snapshotter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := sna.Check(ctx); err != nil {
			sna.opt.Logger.WithError(err).Warn("cannot append snapshot")
		}
		select {
		case <-ctx.Done():
		case <-sna.opt.Clock.After(checkInterval):
		}
	}
}

// due reports whether the newest snapshot is too many records behind or too old.
func (sna *Snapshotter) due(vie *reducer.View) bool {
	now := sna.opt.Clock.Now()
	if vie.SnapshotOffset != sna.snapshotOffset {
		sna.snapshotOffset, sna.snapshotSeenAt = vie.SnapshotOffset, now
	}
	overdue := sna.opt.MaxInterval > 0 && now.Sub(sna.snapshotSeenAt) >= sna.opt.MaxInterval
	return vie.Offset-vie.SnapshotOffset >= sna.opt.EveryRecords || vie.Offset > 0 && overdue
}

// Check appends a snapshot if one is due and this entry is assigned to append it.
func (sna *Snapshotter) Check(ctx context.Context) error {
	vie := sna.opt.State.View()
	if !sna.due(vie) || vie.Snapshotter.Incarnation != sna.opt.Self() {
		return nil
	}
	body, err := sna.opt.State.Snapshot()
	if err != nil {
		return errors.Annotate(err, "snapshotter: encode state")
	}
	rec, err := recorder.New(sna.opt.Clock.Now(), recorder.KindSnapshot, sna.opt.Self(), body)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	jud, err := sna.opt.Appender.Append(ctx, rec)
	if err != nil {
		return errors.Trace(err)
	}
	sna.opt.Logger.WithFields(logrus.Fields{"covers": body.Covers, "offset": jud.Offset, "bytes": len(body.State)}).Info("snapshot appended")
	return nil
}
