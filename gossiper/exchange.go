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
	maxFacts    = 512
	maxRecords  = 256
	gather      = 20 * time.Millisecond
	neverFresh  = 24 * time.Hour
	callSlack   = time.Second
	minInterval = 50 * time.Millisecond
)

// Request asks a peer for what is new; Cursor counts in the peer's own numbers.
// The peer's own facts are told, and those of the origins in Unseen, which the asker does not reach; with Relay those of all. What Held names is not told: the asker has it from others.
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
	gos.noteOffset(req.From, req.Offset)
	cursor := req.Cursor
	if req.Callee != gos.Self() {
		cursor = 0
	}
	req.Held = gos.recall(req)
	gos.await(cursor, req)
	return gos.answer(cursor, req, begun)
}

func (gos *Gossiper) await(cursor uint64, req Request) {
	if req.Wait <= 0 {
		return
	}
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
	for _, fac := range gos.after(cursor) {
		if gos.wanted(fac, req) {
			return true
		}
	}
	return false
}

// wanted reports whether a fact is to be told to the asker; what came from it is not told back.
func (gos *Gossiper) wanted(fac heldFact, req Request) bool {
	if fac.Origin == req.From || fac.from == req.From {
		return false
	}
	return (req.Relay || fac.Origin == gos.self || slices.Contains(req.Unseen, fac.Origin)) && !names(req.Held, fac.mark)
}

func (gos *Gossiper) answer(cursor uint64, req Request, begun time.Time) Answer {
	ans := Answer{From: gos.Self()}
	ans.Facts, ans.Cursor = gos.since(cursor, req)
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
func (gos *Gossiper) pull(ctx context.Context, pee peer, wait time.Duration) error {
	asked := gos.opt.Clock.Now()
	vie := gos.opt.State.View()
	req := Request{From: gos.Self(), Callee: pee.incarnation, Offset: vie.Offset, Wait: wait}
	req.Relay, req.Unseen = gos.unseen(asked)
	req.Behind = asked.Sub(gos.opt.State.Contact()) > gos.opt.Interval
	cur := gos.cursorOf(pee.incarnation, strings.Join(req.Unseen, ","))
	req.Cursor = cur.at
	var held uint64
	if req.Relay {
		req.Held, held = gos.held(cur.held, pee.incarnation)
	}
	ctx, stop := context.WithTimeout(ctx, wait+callSlack)
	defer stop()
	ans, err := gos.opt.Peers.Exchange(ctx, pee.address, req)
	if err != nil {
		return errors.Annotate(err, "gossiper: pull")
	}
	if ans.From != pee.incarnation {
		return nil
	}
	gos.heard(pee.incarnation, asked.Add(ans.Waited))
	gos.noteOffset(pee.incarnation, ans.Offset)
	gos.takeRecords(ctx, pee, ans, asked)
	if gos.merge(ans.Facts, pee.incarnation) || gos.opt.State.View().Offset >= ans.Offset {
		gos.setCursor(pee.incarnation, cur.moved(req, ans, held))
	}
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
	sna, err := gos.opt.Peers.Snapshot(ctx, address)
	if err != nil {
		return
	}
	if err := gos.opt.State.Adopt(sna); err != nil {
		gos.opt.Logger.WithError(err).Error("state of a peer not usable")
	}
}
