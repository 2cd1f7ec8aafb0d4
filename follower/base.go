package follower

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func (fol *Follower) adoptPeer(ctx context.Context, least int64) bool {
	if fol.opt.Peers == nil {
		return false
	}
	sna, err := fol.opt.Peers.Snapshot(ctx)
	if err != nil || sna.Covers < least {
		return false
	}
	return fol.Adopt(sna) == nil
}

// scan looks for a base to fold on: the first record of all, or a snapshot within reach.
func (fol *Follower) scan(pag logcaller.Page) {
	if pag.First <= 1 && fol.scanned == 0 {
		fol.found(BootLog)
		fol.fold(pag.Entries)
		return
	}
	for _, ent := range pag.Entries {
		fol.search = append(fol.search, ent)
		fol.scanned = ent.Offset
		if fol.founded {
			continue
		}
		fol.tryBase(ent)
	}
	if fol.founded {
		entries := fol.search
		fol.search = nil
		fol.fold(entries)
	}
}

func (fol *Follower) tryBase(ent recorder.Entry) {
	if ent.Record.Kind != recorder.KindSnapshot {
		return
	}
	sna, err := recorder.Decode[recorder.Snapshot](ent.Record)
	if err != nil || len(fol.search) == 0 || sna.Covers < fol.search[0].Offset-1 {
		return
	}
	sta, err := reducer.DecodeState(sna)
	if err != nil {
		fol.opt.Logger.WithError(err).Error("snapshot not usable")
		return
	}
	if sta.Offset < fol.state.Offset {
		return
	}
	fol.state = sta
	fol.tail = nil
	fol.found(BootSnapshot)
}

func (fol *Follower) found(from string) {
	fol.founded = true
	fol.booted = from
	fol.opt.Logger.WithFields(logrus.Fields{"from": from, "offset": fol.state.Offset}).Info("state founded")
}

// heal jumps over records that the log no longer holds, by a peer's state or by a later snapshot.
func (fol *Follower) heal(ctx context.Context, first int64) error {
	if fol.adoptPeer(ctx, first-1) {
		return nil
	}
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	fol.begins = first
	if fol.scanned < first-1 {
		fol.founded = false
		fol.search = nil
		fol.scanned = first - 1
		fol.opt.Logger.WithField("first", first).Warn("log has a gap after the folded offset")
	}
	return nil
}

// Adopt takes a peer's state when it is ahead and the log goes on from it; it fails with errors.NotValid.
func (fol *Follower) Adopt(sna recorder.Snapshot) error {
	sta, err := reducer.DecodeState(sna)
	if err != nil {
		return errors.Trace(err)
	}
	fol.mtx.Lock()
	defer fol.mtx.Unlock()
	if sta.Offset < fol.state.Offset || fol.founded && sta.Offset == fol.state.Offset {
		return nil
	}
	if sta.Offset < fol.begins-1 {
		return nil
	}
	fol.state = sta
	fol.tail = nil
	fol.search = nil
	fol.scanned = 0
	fol.found(BootPeer)
	fol.publish()
	return nil
}
