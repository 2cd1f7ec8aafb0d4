package gossiper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/recorder"
)

const (
	maxFacts    = 512
	maxRecords  = 256
	gather      = 20 * time.Millisecond
	neverFresh  = 24 * time.Hour
	callSlack   = time.Second
	minInterval = 50 * time.Millisecond
)

// Request asks a peer for what is new; Cursor counts in the peer's own numbers.
type Request struct {
	From   string
	Callee string
	Cursor uint64
	Offset int64
	Behind bool
	Wait   time.Duration
}

// Answer carries what is new at a peer; Waited is how long the peer held the request, and LogAge how long ago its state was up to date with the log.
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

// Exchange answers a peer as soon as there is something new for it, or after its wait.
func (gos *Gossiper) Exchange(req Request) Answer {
	begun := gos.opt.Clock.Now()
	gos.heard(req.From, begun)
	cursor := req.Cursor
	if req.Callee != gos.Self() {
		cursor = 0
	}
	gos.await(cursor, req)
	return gos.answer(cursor, req, begun)
}

func (gos *Gossiper) await(cursor uint64, req Request) {
	limit := gos.opt.Clock.After(min(req.Wait, maxWait))
	for !gos.newer(cursor, req) {
		folded := gos.opt.State.Changed()
		gos.mtx.Lock()
		changed := gos.changed
		gos.mtx.Unlock()
		if gos.newer(cursor, req) {
			return
		}
		select {
		case <-changed:
			gos.opt.Clock.Sleep(gather)
		case <-folded:
		case <-limit:
			return
		case <-gos.stopped:
			return
		}
	}
}

func (gos *Gossiper) newer(cursor uint64, req Request) bool {
	if req.Behind && gos.opt.State.View().Offset > req.Offset {
		return true
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	return gos.version > cursor
}

func (gos *Gossiper) answer(cursor uint64, req Request, begun time.Time) Answer {
	ans := Answer{From: gos.Self()}
	ans.Facts, ans.Cursor = gos.since(cursor)
	now := gos.opt.Clock.Now()
	contact := gos.opt.State.Contact()
	vie := gos.opt.State.View()
	ans.Offset, ans.Chain = vie.Offset, vie.Chain
	ans.Waited = now.Sub(begun)
	ans.LogAge = neverFresh
	if !contact.IsZero() {
		ans.LogAge = now.Sub(contact)
	}
	if req.Behind && vie.Offset > req.Offset {
		records, held := gos.opt.State.Tail(req.Offset, maxRecords)
		ans.Records = records
		ans.TooOld = !held
	}
	return ans
}

// pull asks one peer once and takes in its answer.
func (gos *Gossiper) pull(ctx context.Context, pee peer) error {
	asked := gos.opt.Clock.Now()
	vie := gos.opt.State.View()
	req := Request{From: gos.Self(), Callee: pee.incarnation, Cursor: gos.cursorOf(pee.incarnation), Offset: vie.Offset, Wait: gos.opt.Interval}
	req.Behind = asked.Sub(gos.opt.State.Contact()) > gos.opt.Interval
	ctx, stop := context.WithTimeout(ctx, gos.opt.Interval+callSlack)
	defer stop()
	ans, err := messenger.Call[Request, Answer](ctx, gos.opt.Messenger, pee.address, "Exchange", req)
	if err != nil {
		gos.opt.Messenger.Forget(pee.address)
		return err
	}
	if ans.From != pee.incarnation {
		return nil
	}
	gos.heard(pee.incarnation, asked.Add(ans.Waited))
	gos.setCursor(pee.incarnation, ans.Cursor)
	gos.merge(ans.Facts)
	gos.takeRecords(ctx, pee, ans, asked)
	at := asked.Add(ans.Waited)
	if gos.opt.State.View().Offset < ans.Offset {
		at = gos.opt.State.Contact()
	}
	gos.caughtUp(pee.incarnation, at)
	return nil
}

func (gos *Gossiper) caughtUp(inc string, at time.Time) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if at.After(gos.current[inc]) {
		gos.current[inc] = at
	}
}

func (gos *Gossiper) takeRecords(ctx context.Context, pee peer, ans Answer, asked time.Time) {
	vie := gos.opt.State.View()
	if ans.Offset == vie.Offset && ans.Chain != vie.Chain {
		gos.opt.Logger.WithFields(logrus.Fields{"peer": pee.name, "offset": ans.Offset}).Error("fold differs from a peer's")
		gos.opt.OnDivergence()
	}
	if ans.TooOld {
		gos.adopt(ctx, pee.address)
	}
	gos.opt.State.Relay(ans.Records, ans.Offset, asked.Add(ans.Waited-ans.LogAge))
}

func (gos *Gossiper) adopt(ctx context.Context, address string) {
	sna, err := messenger.Call[string, recorder.Snapshot](ctx, gos.opt.Messenger, address, "Snapshot", gos.Self())
	if err != nil {
		return
	}
	if err := gos.opt.State.Adopt(sna); err != nil {
		gos.opt.Logger.WithError(err).Error("state of a peer not usable")
	}
}
