package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// View returns the newest folded state; it must not be changed.
func (fol *Follower) View() *reducer.View {
	return fol.view.Load()
}

// Changed is closed at the next fold.
func (fol *Follower) Changed() <-chan struct{} {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.changed
}

// Founded says whether there is a state, and where it came from.
func (fol *Follower) Founded() (string, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.booted, fol.founded
}

// Contact is the last time at which the state was known to be up to date with the log.
func (fol *Follower) Contact() time.Time {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.contact
}

// Claim returns the accepted claim of a key.
func (fol *Follower) Claim(key string) (reducer.Claim, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	cla, found := fol.state.Claims[key]
	return cla, found
}

// Claimable reports whether a key issued at the Unix time in milliseconds may still be claimed.
func (fol *Follower) Claimable(issuedMS int64) bool {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	return fol.state.Claimable(issuedMS)
}

// Judged returns the verdict on a record that was folded not long ago.
func (fol *Follower) Judged(id string) (Judged, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if jud, known := fol.judged[id]; known {
		return jud, true
	}
	see, known := fol.state.Seen[id]
	return Judged{Offset: see.Offset, Reason: see.Reason, Revision: see.Revision}, known
}

// WaitJudged waits until the record has been folded; it fails when the context ends first.
func (fol *Follower) WaitJudged(ctx context.Context, id string) (Judged, error) {
	fol.mtx.Lock()
	if jud, known := fol.judged[id]; known {
		fol.mtx.Unlock()
		return jud, nil
	}
	wai := make(chan Judged, 1)
	fol.waits[id] = append(fol.waits[id], wai)
	fol.mtx.Unlock()
	select {
	case jud := <-wai:
		return jud, nil
	case <-ctx.Done():
		fol.dropWait(id, wai)
		return Judged{}, errors.Annotate(ctx.Err(), "follower: record not folded")
	}
}

// WaitFolded waits until the record has been folded and returns its offset.
func (fol *Follower) WaitFolded(ctx context.Context, id string) (int64, error) {
	jud, err := fol.WaitJudged(ctx, id)
	return jud.Offset, errors.Trace(err)
}

func (fol *Follower) dropWait(id string, wai chan Judged) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	var kept []chan Judged
	for _, oth := range fol.waits[id] {
		if oth != wai {
			kept = append(kept, oth)
		}
	}
	if len(kept) == 0 {
		delete(fol.waits, id)
		return
	}
	fol.waits[id] = kept
}

// Tail returns held records after an offset, at most limit; it reports false when they are not held back so far.
func (fol *Follower) Tail(after int64, limit int) ([]recorder.Entry, bool) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.founded {
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

// Snapshot encodes the state; it fails with errors.NotFound before there is one.
func (fol *Follower) Snapshot() (recorder.Snapshot, error) {
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if !fol.founded {
		return recorder.Snapshot{}, errors.NotFoundf("follower: state")
	}
	return fol.state.Encode()
}
