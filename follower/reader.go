package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// View returns the newest state; it must not be changed.
func (fol *Follower) View() *reducer.View {
	return fol.view.Load()
}

// Changed returns a channel that is closed at the next change of the state.
func (fol *Follower) Changed() <-chan struct{} {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.changed
}

// Bootstrapped returns the source of the initial state, and false while there is no state.
func (fol *Follower) Bootstrapped() (string, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.bootSource, fol.bootstrapped
}

// LastContact returns the last time at which the state was known to be up to date with the log, or the zero time.
func (fol *Follower) LastContact() time.Time {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.lastContact
}

// Claim returns the accepted claim of an idempotency key.
func (fol *Follower) Claim(key string) (reducer.Claim, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	cla, found := fol.state.Claims[key]
	return cla, found
}

// Claimable reports whether a key issued at the given Unix time in milliseconds can still be claimed.
func (fol *Follower) Claimable(issuedMS int64) bool {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.state.Claimable(issuedMS)
}

// Verdict returns the result of a record that was applied recently.
func (fol *Follower) Verdict(id string) (Verdict, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if jud, known := fol.verdicts[id]; known {
		return jud, true
	}
	see, known := fol.state.Seen[id]
	return Verdict{Offset: see.Offset, Reason: see.Reason, Revision: see.Revision}, known
}

// WaitVerdict waits until the record has been applied and returns the result, or an error if the context ends first.
func (fol *Follower) WaitVerdict(ctx context.Context, id string) (Verdict, error) {
	fol.mtx.Lock()
	if jud, known := fol.verdicts[id]; known {
		fol.mtx.Unlock()
		return jud, nil
	}
	waiter := make(chan Verdict, 1)
	fol.waiters[id] = append(fol.waiters[id], waiter)
	fol.mtx.Unlock()
	select {
	case jud := <-waiter:
		return jud, nil
	case <-ctx.Done():
		fol.removeWaiter(id, waiter)
		return Verdict{}, errors.Annotate(ctx.Err(), "follower: wait for the record to be applied")
	}
}

// WaitApplied waits until the record has been applied and returns its offset, or an error if the context ends first.
func (fol *Follower) WaitApplied(ctx context.Context, id string) (int64, error) {
	jud, err := fol.WaitVerdict(ctx, id)
	return jud.Offset, errors.Trace(err)
}

func (fol *Follower) removeWaiter(id string, waiter chan Verdict) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	var kept []chan Verdict
	for _, oth := range fol.waiters[id] {
		if oth != waiter {
			kept = append(kept, oth)
		}
	}
	if len(kept) == 0 {
		delete(fol.waiters, id)
		return
	}
	fol.waiters[id] = kept
}

// Tail returns up to limit records after an offset, or false if that offset is older than the records still held in memory.
func (fol *Follower) Tail(after int64, limit int) ([]recorder.Entry, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.bootstrapped {
		return nil, false
	}
	if after >= fol.state.Offset {
		return nil, true
	}
	if len(fol.tail) == 0 || fol.tail[0].Offset > after+1 {
		return nil, false
	}
	from := int(after + 1 - fol.tail[0].Offset)
	until := min(from+limit, len(fol.tail))
	return append([]recorder.Entry{}, fol.tail[from:until]...), true
}

// Snapshot encodes the state; it returns errors.NotFound while there is none.
func (fol *Follower) Snapshot() (recorder.Snapshot, error) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.bootstrapped {
		return recorder.Snapshot{}, errors.NotFoundf("follower: state")
	}
	return fol.state.Encode()
}
