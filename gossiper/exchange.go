package gossiper

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/recorder"
)

const (
	maxFacts          = 512
	maxRecords        = 256
	batchDelay        = 20 * time.Millisecond
	unknownLogAge     = 24 * time.Hour
	callTimeoutMargin = time.Second
	minPullInterval   = 50 * time.Millisecond
)

// Request asks a peer for what is new since Cursor, which is a fact version of the peer.
// The peer sends its own facts and those of the origins in Unseen, which the requester cannot reach; with Relay it sends
// the facts of all origins. It skips the facts whose fingerprints are in Held, which the requester has from other peers.
// Behind requests log records after Offset.
type Request struct {
	From   string
	Callee string
	Cursor uint64
	Offset int64
	Behind bool
	Relay  bool
	Unseen []string
	Held   []byte
	Wait   time.Duration
}

// Answer carries what is new at a peer. Waited is how long the peer held the request, and LogAge how long ago the
// peer's state was last known to be up to date with the log.
type Answer struct {
	From    string
	Cursor  uint64
	Offset  int64
	Chain   uint64
	LogAge  time.Duration
	Waited  time.Duration
	Facts   []Fact
	Records []recorder.Entry
	TooOld  bool
}

// Exchange answers a peer as soon as there is something new for it, or when its wait time is over.
func (gos *Gossiper) Exchange(req Request) Answer {
	received := gos.opt.Clock.Now()
	gos.noteHeard(req.From, received)
	gos.noteOffset(req.From, req.Offset)
	cursor := req.Cursor
	if req.Callee != gos.Self() {
		cursor = 0
	}
	req.Held = gos.remember(req)
	gos.awaitNews(cursor, req)
	return gos.answer(cursor, req, received)
}

func (gos *Gossiper) awaitNews(cursor uint64, req Request) {
	if req.Wait <= 0 {
		return
	}
	limit := gos.opt.Clock.After(min(req.Wait, maxHold))
	for !gos.hasNews(cursor, req) {
		stateChanged := gos.opt.State.Changed()
		gos.mtx.Lock()
		changed := gos.changed
		gos.mtx.Unlock()
		if gos.hasNews(cursor, req) {
			return
		}
		select {
		case <-changed:
			gos.opt.Clock.Sleep(batchDelay)
		case <-stateChanged:
		case <-limit:
			return
		case <-gos.stopped:
			return
		}
	}
}

func (gos *Gossiper) hasNews(cursor uint64, req Request) bool {
	if req.Behind && gos.opt.State.View().Offset > req.Offset {
		return true
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for _, fac := range gos.factsAfter(cursor) {
		if gos.shouldSend(fac, req) {
			return true
		}
	}
	return false
}

// shouldSend reports whether a fact is to be sent to the requester; facts received from the requester are not sent back.
func (gos *Gossiper) shouldSend(fac storedFact, req Request) bool {
	if fac.Origin == req.From || fac.sender == req.From {
		return false
	}
	return (req.Relay || fac.Origin == gos.self || slices.Contains(req.Unseen, fac.Origin)) && !containsFingerprint(req.Held, fac.fingerprint)
}

func (gos *Gossiper) answer(cursor uint64, req Request, received time.Time) Answer {
	ans := Answer{From: gos.Self()}
	ans.Facts, ans.Cursor = gos.factsFor(cursor, req)
	now := gos.opt.Clock.Now()
	contact := gos.opt.State.LastContact()
	vie := gos.opt.State.View()
	ans.Offset, ans.Chain = vie.Offset, vie.ChainHash
	ans.Waited = now.Sub(received)
	ans.LogAge = unknownLogAge
	if !contact.IsZero() {
		ans.LogAge = now.Sub(contact)
	}
	if req.Behind && vie.Offset > req.Offset {
		records, available := gos.opt.State.Tail(req.Offset, maxRecords)
		ans.Records = records
		ans.TooOld = !available
	}
	return ans
}

// pull sends one request to a peer and applies the answer.
func (gos *Gossiper) pull(ctx context.Context, pee peer, wait time.Duration) error {
	sentAt := gos.opt.Clock.Now()
	vie := gos.opt.State.View()
	req := Request{From: gos.Self(), Callee: pee.incarnation, Offset: vie.Offset, Wait: wait}
	req.Relay, req.Unseen = gos.relayScope(sentAt)
	req.Behind = sentAt.Sub(gos.opt.State.LastContact()) > gos.opt.Interval
	cur := gos.cursorFor(pee.incarnation, strings.Join(req.Unseen, ","))
	req.Cursor = cur.version
	var advertised uint64
	if req.Relay {
		req.Held, advertised = gos.fingerprintsAfter(cur.advertised, pee.incarnation)
	}
	ctx, stop := context.WithTimeout(ctx, wait+callTimeoutMargin)
	defer stop()
	ans, err := gos.opt.Peers.Exchange(ctx, pee.address, req)
	if err != nil {
		return errors.Annotate(err, "gossiper: pull")
	}
	if ans.From != pee.incarnation {
		return nil
	}
	gos.noteHeard(pee.incarnation, sentAt.Add(ans.Waited))
	gos.noteOffset(pee.incarnation, ans.Offset)
	gos.applyRecords(ctx, pee, ans, sentAt)
	if gos.merge(ans.Facts, pee.incarnation) || gos.opt.State.View().Offset >= ans.Offset {
		gos.setCursor(pee.incarnation, cur.advance(req, ans, advertised))
	}
	at := sentAt.Add(ans.Waited)
	if gos.opt.State.View().Offset < ans.Offset {
		at = gos.opt.State.LastContact()
	}
	gos.noteInSync(pee.incarnation, at)
	return nil
}

func (gos *Gossiper) noteInSync(inc string, at time.Time) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if at.After(gos.lastInSync[inc]) {
		gos.lastInSync[inc] = at
	}
}

func (gos *Gossiper) applyRecords(ctx context.Context, pee peer, ans Answer, sentAt time.Time) {
	vie := gos.opt.State.View()
	if ans.Offset == vie.Offset && ans.Chain != vie.ChainHash {
		gos.opt.Logger.WithFields(logrus.Fields{"peer": pee.name, "offset": ans.Offset}).Error("state differs from a peer at the same log offset")
		gos.opt.OnDivergence()
	}
	if ans.TooOld {
		gos.adoptSnapshot(ctx, pee.address)
	}
	gos.opt.State.ApplyRelayed(ans.Records, ans.Offset, sentAt.Add(ans.Waited-ans.LogAge))
}

func (gos *Gossiper) adoptSnapshot(ctx context.Context, address string) {
	sna, err := gos.opt.Peers.Snapshot(ctx, address)
	if err != nil {
		return
	}
	if err := gos.opt.State.InstallSnapshot(sna); err != nil {
		gos.opt.Logger.WithError(err).Error("snapshot from a peer could not be installed")
	}
}
