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
	retryInterval = 300 * time.Millisecond
	sendTimeout   = 2 * time.Second
)

// ErrOutcomeUnknown means that the record may be in the log or may still be appended.
const ErrOutcomeUnknown = errors.ConstError("outcome of the append is unknown")

// Log appends records to the log service.
type Log interface {
	Append(ctx context.Context, rec recorder.Record) (int64, error)
}

// VerdictWaiter waits until a record has been applied and returns whether it was accepted.
type VerdictWaiter interface {
	WaitVerdict(ctx context.Context, id string) (follower.Verdict, error)
}

// Appender appends records and waits for the results of applying them.
type Appender struct {
	log      Log
	verdicts VerdictWaiter
	clk      clockwork.Clock
}

// New returns an Appender.
func New(log Log, verdicts VerdictWaiter, clk clockwork.Clock) *Appender {
	return &Appender{log: log, verdicts: verdicts, clk: clk}
}

// Append appends a record, retrying until the log service answers, and returns the result once the record has been read back and applied.
// It returns ErrOutcomeUnknown if the context ends first.
func (app *Appender) Append(ctx context.Context, rec recorder.Record) (follower.Verdict, error) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go app.send(sendCtx, rec)
	jud, err := app.verdicts.WaitVerdict(ctx, rec.ID)
	if err != nil {
		return jud, errors.WithType(errors.Annotate(err, string(ErrOutcomeUnknown)), ErrOutcomeUnknown)
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
		case <-app.clk.After(retryInterval):
		}
	}
}

func (app *Appender) sendOnce(ctx context.Context, rec recorder.Record) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := app.log.Append(ctx, rec)
	return err
}
