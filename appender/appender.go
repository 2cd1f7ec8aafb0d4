package appender

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
)

const (
	retryEvery  = 300 * time.Millisecond
	sendTimeout = 2 * time.Second
)

// ErrUnknown says that a record may stand in the log or may yet come to stand there.
const ErrUnknown = errors.ConstError("outcome of the append is unknown")

// Log is the part of the log service that an appender calls.
type Log interface {
	Append(ctx context.Context, rec recorder.Record) (int64, error)
}

// Judge tells what the fold made of a record.
type Judge interface {
	WaitJudged(ctx context.Context, id string) (follower.Judged, error)
}

// Appender appends records and waits for the fold's verdict.
type Appender struct {
	log   Log
	judge Judge
	clk   clockwork.Clock
}

// New returns an appender.
func New(log Log, judge Judge, clk clockwork.Clock) *Appender {
	return &Appender{log: log, judge: judge, clk: clk}
}

// Append sends a record, again when its answer is lost, and returns the verdict once it is read back.
// It fails with ErrUnknown when the context ends first.
func (app *Appender) Append(ctx context.Context, rec recorder.Record) (follower.Judged, error) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go app.send(sending, rec)
	jud, err := app.judge.WaitJudged(ctx, rec.ID)
	if err != nil {
		return jud, errors.WithType(errors.Annotate(err, string(ErrUnknown)), ErrUnknown)
	}
	return jud, nil
}

func (app *Appender) send(ctx context.Context, rec recorder.Record) {
	for ctx.Err() == nil {
		if app.sendOnce(ctx, rec) == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-app.clk.After(retryEvery):
		}
	}
}

func (app *Appender) sendOnce(ctx context.Context, rec recorder.Record) error {
	ctx, stop := context.WithTimeout(ctx, sendTimeout)
	defer stop()
	_, err := app.log.Append(ctx, rec)
	return err
}
