package publisher

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/checker"
	"github.com/lovagelever/lovagelever/requester"
)

const (
	resendInterval = 250 * time.Millisecond
	statusInterval = 200 * time.Millisecond
)

// Entries answers what a publisher asks of the entries.
type Entries interface {
	Addresses() []string
	Publish(ctx context.Context, address string, pub requester.Publication) (requester.Accepted, error)
	Status(ctx context.Context) (requester.Status, error)
}

// Publisher sends publications to the entries.
type Publisher struct {
	entries Entries
	clock   clockwork.Clock
}

// New makes a publisher.
func New(entries Entries, clock clockwork.Clock) *Publisher {
	return &Publisher{entries: entries, clock: clock}
}

// Send sends a publication, again under the same ID after a lost answer, until the context ends; it fails with ErrConflict, ErrInvalid, ErrNotAccepted or ErrOutcomeUnknown.
func (pub *Publisher) Send(ctx context.Context, file checker.Publication, basedOn int64) (requester.Accepted, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return requester.Accepted{}, errors.Annotate(err, "publisher: make ID")
	}
	msg := requester.Publication{ID: id.String(), BasedOn: basedOn, Inventory: file.Inventory, Rules: file.Rules}
	addresses := pub.entries.Addresses()
	lost := false
	for i := 0; ; i++ {
		acc, err := pub.entries.Publish(ctx, addresses[i%len(addresses)], msg)
		if err == nil {
			return acc, nil
		}
		lost = lost || mayHaveRun(err)
		if final := finalError(err); final != "" {
			return requester.Accepted{}, errors.WithType(err, final)
		}
		if !pub.pause(ctx, resendInterval) {
			return requester.Accepted{}, giveUp(err, lost)
		}
	}
}

// Await waits until every reachable fresh entry shows the revision and returns how each entry stands; it fails with ErrNotInForce when the context ends.
func (pub *Publisher) Await(ctx context.Context, revision int64) ([]Standing, error) {
	var known []Standing
	var last error
	for {
		sta, err := pub.entries.Status(ctx)
		if err == nil {
			known = standings(sta, revision)
			if settled(known) {
				return known, nil
			}
		} else if ctx.Err() == nil {
			last = err
		}
		if !pub.pause(ctx, statusInterval) {
			return known, notInForce(last)
		}
	}
}

// pause reports whether there is time left after it.
func (pub *Publisher) pause(ctx context.Context, dur time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-pub.clock.After(dur):
		return true
	}
}

func mayHaveRun(err error) bool {
	if errors.Is(err, requester.ErrLostAnswer) || errors.Is(err, requester.ErrMalformed) {
		return true
	}
	ref, refused := errors.AsType[*requester.Refusal](err)
	return refused && ref.Unknown()
}

func finalError(err error) errors.ConstError {
	ref, refused := errors.AsType[*requester.Refusal](err)
	switch {
	case !refused:
		return ""
	case ref.Conflict():
		return ErrConflict
	case ref.Invalid():
		return ErrInvalid
	case ref.Final():
		return ErrNotAccepted
	default:
		return ""
	}
}

func giveUp(err error, lost bool) error {
	if lost {
		return errors.WithType(err, ErrOutcomeUnknown)
	}
	return errors.WithType(err, ErrNotAccepted)
}

func notInForce(last error) error {
	if last == nil {
		return errors.Trace(ErrNotInForce)
	}
	return errors.WithType(last, ErrNotInForce)
}
