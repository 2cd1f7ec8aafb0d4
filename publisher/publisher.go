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
	resendInterval = 250 * time.Millisecond // between attempts to send a publication
	statusInterval = 200 * time.Millisecond // between status requests while awaiting a revision
)

// EntryClient sends the requests of a publisher to the entries.
type EntryClient interface {
	Addresses() []string
	Publish(ctx context.Context, address string, pub requester.Publication) (requester.PublicationResult, error)
	Status(ctx context.Context) (requester.Status, error)
}

// Publisher sends publications to the entries.
type Publisher struct {
	entries EntryClient
	clock   clockwork.Clock
}

// New returns a publisher that sends to the entries and waits by the clock.
func New(entries EntryClient, clock clockwork.Clock) *Publisher {
	return &Publisher{entries: entries, clock: clock}
}

// Send sends a publication and retries it under the same ID, at the next entry each time, until an entry accepts it, an entry refuses it permanently or the context ends; it fails with ErrConflict, ErrInvalid, ErrNotAccepted or ErrOutcomeUnknown.
func (pub *Publisher) Send(ctx context.Context, checked checker.Publication, basedOn int64) (requester.PublicationResult, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return requester.PublicationResult{}, errors.Annotate(err, "publisher: generate ID")
	}
	msg := requester.Publication{ID: id.String(), BasedOn: basedOn, Inventory: checked.Inventory, Rules: checked.Rules}
	addresses := pub.entries.Addresses()
	outcomeUnknown := false
	for i := 0; ; i++ {
		acc, err := pub.entries.Publish(ctx, addresses[i%len(addresses)], msg)
		if err == nil {
			return acc, nil
		}
		outcomeUnknown = outcomeUnknown || mayHaveTakenEffect(err)
		if permanent := permanentError(err); permanent != "" {
			return requester.PublicationResult{}, errors.WithType(err, permanent)
		}
		if !pub.wait(ctx, resendInterval) {
			return requester.PublicationResult{}, contextEndError(err, outcomeUnknown)
		}
	}
}

// Await waits until at least one entry has the revision in force and every other entry is past its freshness limit, so that it takes no work at an older one, and returns the state of each entry; it fails with ErrNotInForce when the context ends.
func (pub *Publisher) Await(ctx context.Context, revision int64) ([]EntryState, error) {
	var states []EntryState
	var last error
	for {
		sta, err := pub.entries.Status(ctx)
		if err == nil {
			states = entryStates(sta, revision)
			if inForceEverywhere(states) {
				return states, nil
			}
		} else if ctx.Err() == nil {
			last = err
		}
		if !pub.wait(ctx, statusInterval) {
			return states, notInForce(last)
		}
	}
}

// wait waits for the duration; it reports false if the context ends first.
func (pub *Publisher) wait(ctx context.Context, dur time.Duration) bool {
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

// mayHaveTakenEffect reports whether the publication may have been accepted despite the error.
func mayHaveTakenEffect(err error) bool {
	if errors.Is(err, requester.ErrLostAnswer) || errors.Is(err, requester.ErrMalformed) {
		return true
	}
	ref, refused := errors.AsType[*requester.Refusal](err)
	return refused && ref.OutcomeUnknown()
}

// permanentError returns the error for a refusal that a retry cannot change, or "" if a retry may succeed.
func permanentError(err error) errors.ConstError {
	ref, refused := errors.AsType[*requester.Refusal](err)
	switch {
	case !refused:
		return ""
	case ref.Conflict():
		return ErrConflict
	case ref.Invalid():
		return ErrInvalid
	case ref.Permanent():
		return ErrNotAccepted
	default:
		return ""
	}
}

// contextEndError returns the error of a publication that no entry has accepted when the context ends.
func contextEndError(err error, outcomeUnknown bool) error {
	if outcomeUnknown {
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
