package follower

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func (fol *Follower) loadPeerSnapshot(ctx context.Context, minOffset int64) bool {
	if fol.opt.Peers == nil {
		return false
	}
	sna, err := fol.opt.Peers.Snapshot(ctx)
	if err != nil || sna.Covers < minOffset {
		return false
	}
	return fol.InstallSnapshot(sna) == nil
}

// findBase looks for a state to start from: the empty state if the log still has its first record,
// or else a snapshot whose following records are all available.
func (fol *Follower) findBase(pag logcaller.Page) {
	if pag.First <= 1 && fol.scannedTo == 0 {
		fol.setBootstrapped(BootLog)
		fol.applyEntries(pag.Entries)
		return
	}
	for _, ent := range pag.Entries {
		fol.scannedEntries = append(fol.scannedEntries, ent)
		fol.scannedTo = ent.Offset
		if fol.bootstrapped {
			continue
		}
		fol.trySnapshot(ent)
	}
	if fol.bootstrapped {
		entries := fol.scannedEntries
		fol.scannedEntries = nil
		fol.applyEntries(entries)
	}
}

func (fol *Follower) trySnapshot(ent recorder.Entry) {
	if ent.Record.Kind != recorder.KindSnapshot {
		return
	}
	sna, err := recorder.Decode[recorder.Snapshot](ent.Record)
	if err != nil || len(fol.scannedEntries) == 0 || sna.Covers < fol.scannedEntries[0].Offset-1 {
		return
	}
	sta, err := reducer.DecodeState(sna)
	if err != nil {
		fol.opt.Logger.WithError(err).Error("cannot decode snapshot from the log")
		return
	}
	if sta.Offset < fol.state.Offset {
		return
	}
	fol.state = sta
	fol.tail = nil
	fol.setBootstrapped(BootSnapshot)
}

func (fol *Follower) setBootstrapped(source string) {
	fol.bootstrapped = true
	fol.bootSource = source
	fol.opt.Logger.WithFields(logrus.Fields{"from": source, "offset": fol.state.Offset}).Info("control state initialized")
}

// skipGap handles records that the log no longer retains: it installs a peer's state,
// or else starts a search for a later snapshot in the log. first is the first offset still retained.
func (fol *Follower) skipGap(ctx context.Context, first int64) error {
	if fol.loadPeerSnapshot(ctx, first-1) {
		return nil
	}
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	fol.firstRetained = first
	if fol.scannedTo < first-1 {
		fol.bootstrapped = false
		fol.scannedEntries = nil
		fol.scannedTo = first - 1
		fol.opt.Logger.WithField("first", first).Warn("log has a gap after the folded offset")
	}
	return nil
}

// InstallSnapshot installs a peer's state if it is ahead of this one and the log still has the records after it.
// It returns errors.NotValid if the snapshot is corrupt.
func (fol *Follower) InstallSnapshot(sna recorder.Snapshot) error {
	sta, err := reducer.DecodeState(sna)
	if err != nil {
		return errors.Trace(err)
	}
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if sta.Offset < fol.state.Offset || fol.bootstrapped && sta.Offset == fol.state.Offset {
		return nil
	}
	if sta.Offset < fol.firstRetained-1 {
		return nil
	}
	fol.state = sta
	fol.tail = nil
	fol.scannedEntries = nil
	fol.scannedTo = 0
	fol.setBootstrapped(BootPeer)
	fol.publishView()
	return nil
}
