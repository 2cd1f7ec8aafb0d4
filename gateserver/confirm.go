package gateserver

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/confirmer"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/nominator"
	"github.com/lovagelever/lovagelever/tailer"
)

// buildConfirmer creates the component that checks whether this entry knows what the entries know that read the store.
func (gat *Server) buildConfirmer() {
	gat.cfm = confirmer.New(confirmer.Options{
		Follows: func() bool { return !gat.readsStore() }, Sources: gat.sources, Ask: gat.askPositions, OnPositions: gat.onPositions, ReadStore: gat.readStoreSoon,
		Others: func() int { return int(gat.peerCount.Load()) }, MaxAge: func() time.Duration { return tailer.MaxAge(gat.bounds.Load().ShortestLimit()) },
		Clock: gat.clk, Logger: gat.log,
	})
}

// PositionsQuestion requests the positions of an entry in all topics. Heard is the number of the last heartbeat that the asking entry has received from the process with an incarnation.
type PositionsQuestion struct {
	Incarnation uint64
	Heard       uint64
}

// PositionsAnswer has the positions of an entry by topic, and whether it reads the store and is up to date with it. AnsweredFor is for how long the store has answered it without a gap in which leases may expire, by topic. SentAgo is how long ago it sent the heartbeat of the question, if SentKnown.
type PositionsAnswer struct {
	UpToDate    bool
	Positions   map[string]confirmer.Position
	AnsweredFor map[string]time.Duration
	SentAgo     time.Duration
	SentKnown   bool
}

// Positions returns the positions of this entry.
func (rec *receiver) Positions(que *PositionsQuestion, ans *PositionsAnswer) error {
	if que.Incarnation == rec.gat.self.Incarnation {
		ans.SentAgo, ans.SentKnown = rec.gat.stm.Age(que.Heard)
	}
	// One that has read the store once for itself may be up to date as well, but learns of no more.
	ans.UpToDate = rec.gat.upToDate() && rec.gat.readsStore()
	ans.Positions, ans.AnsweredFor = map[string]confirmer.Position{}, map[string]time.Duration{}
	for topic, tai := range rec.gat.tailers {
		// What is confirmed is read before the end, which may be later then.
		age := rec.gat.clk.Since(tai.Confirmed())
		era, end := tai.End()
		ans.Positions[topic] = confirmer.Position{Era: era, End: end, Age: age}
		ans.AnsweredFor[topic] = tai.AnsweredFor()
	}
	return nil
}

// sources returns the names of the entries that were heard recently, in random order, those first that read the store.
func (gat *Server) sources() []string {
	var out []string
	for _, ent := range gat.heardEntries() {
		out = append(out, ent.Name)
	}
	return out
}

// heardEntries returns the entries that were heard recently, in random order, those first that read the store. That a collector has not heard one does not matter.
func (gat *Server) heardEntries() []advertiser.Entry {
	list := slices.DeleteFunc(gat.adv.Others(), func(ent advertiser.Entry) bool { return !gat.hea.Heard(ent.Name) })
	rand.Shuffle(len(list), func(one, two int) { list[one], list[two] = list[two], list[one] })
	slices.SortStableFunc(list, func(one, two advertiser.Entry) int { return cmp.Compare(gat.rank(one.Name), gat.rank(two.Name)) })
	return list
}

// askPositions requests the positions of an entry. One of an earlier version knows only the methods that return records.
func (gat *Server) askPositions(ctx context.Context, entry string) (map[string]confirmer.Position, error) {
	list := gat.adv.Others()
	idx := slices.IndexFunc(list, func(ent advertiser.Entry) bool { return ent.Name == entry })
	if idx < 0 {
		return nil, errors.Annotate(ErrNoPeer, "gateserver: request positions")
	}
	address := list[idx].EntryAddress
	var que PositionsQuestion
	var heardAgo time.Duration
	que.Incarnation, que.Heard, heardAgo, _ = gat.hea.Last(entry)
	asked := gat.clk.Now()
	ans, err := messenger.Call[PositionsQuestion, PositionsAnswer](ctx, gat.mes, address, "Positions", que)
	if _, remote := errors.AsType[rpc.ServerError](err); remote {
		return gat.askEnds(ctx, address)
	}
	if err != nil {
		return nil, err
	}
	if ans.SentKnown {
		gat.noteHeartbeatDelay(entry, ans.SentAgo-heardAgo-gat.clk.Since(asked))
	}
	if !ans.UpToDate {
		return nil, errors.Annotatef(confirmer.ErrOutdated, "gateserver: positions of %s", entry)
	}
	return ans.Positions, nil
}

const (
	// lateHeartbeat is how long a heartbeat may be on the way before it is logged, and lateHeartbeatPause the time between two such lines on one entry.
	lateHeartbeat      = 500 * time.Millisecond
	lateHeartbeatPause = 10 * time.Second
)

// noteHeartbeatDelay records how long the last heartbeat of an entry was on the way at least.
func (gat *Server) noteHeartbeatDelay(entry string, delay time.Duration) {
	gat.mtr.RecordHeartbeatDelay(max(0, delay))
	if delay < lateHeartbeat {
		return
	}
	now := gat.clk.Now()
	if last, logged := gat.lateHeartbeats.Load(entry); logged && now.Sub(last.(time.Time)) < lateHeartbeatPause {
		return
	}
	gat.lateHeartbeats.Store(entry, now)
	gat.log.WithFields(logrus.Fields{"source": entry, "delay_ms": delay.Milliseconds()}).Warn("heartbeats of an entry arrive late")
}

// unknownAge is the age of positions that confirm nothing, since their entry may not read the store.
const unknownAge = time.Hour

// askEnds requests the records that this entry lacks, only to see where they end.
func (gat *Server) askEnds(ctx context.Context, address string) (map[string]confirmer.Position, error) {
	out := map[string]confirmer.Position{}
	for topic, tai := range gat.tailers {
		era, end := tai.End()
		pag, err := gat.requestRecords(ctx, address, Question{Topic: topic, Era: era, From: end})
		if err != nil {
			return nil, err
		}
		// It does not name its end if it does not know all removals.
		newer := func(rec tailer.Record) bool { return rec.Era >= era && rec.Offset >= end }
		if pag.Era == era && pag.End <= end && slices.ContainsFunc(pag.Records, newer) {
			return nil, errors.Annotatef(confirmer.ErrOutdated, "gateserver: end of %s", topic)
		}
		out[topic] = confirmer.Position{Era: pag.Era, End: pag.End, Age: unknownAge}
	}
	return out, nil
}

// onPositions records up to when another entry confirms what this one knows, and has the records requested of the topics of which it knows more. One of an earlier version does not say how old its positions are.
func (gat *Server) onPositions(entry string, asked time.Time, positions map[string]confirmer.Position) {
	for topic, pos := range positions {
		tai, known := gat.tailers[topic]
		if !known {
			continue
		}
		age := cmp.Or(pos.Age, maxStoreAge)
		tai.Confirm(pos.Era, pos.End, asked.Add(-age))
		if !tai.IsBehind(pos.Era, pos.End) {
			continue
		}
		gat.newsFrom.Store(topic, entry)
		tai.NotifyEnd(pos.Era, pos.End)
	}
}

// readStoreSoon has all topics read from the store, although other entries read it.
func (gat *Server) readStoreSoon() {
	gat.mtr.RecordUnconfirmed()
	for _, tai := range gat.tailers {
		tai.ReadSoon()
	}
}

// onOutdated has the operator's topic read from the store: an entry that served a caller of this one knows a newer configuration.
func (gat *Server) onOutdated() {
	gat.tailers[gat.pla.Topics.Operator].ReadSoon()
}

// answeredOthers reports whether the store has answered one of the entries that read it about a topic, all through a time that ends now.
func (gat *Server) answeredOthers(ctx context.Context, topic string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmer.AskTimeout)
	defer cancel()
	began := gat.clk.Now()
	list := gat.heardEntries()
	list = list[:min(len(list), nominator.Readers)]
	answers := make(chan bool, len(list))
	for _, ent := range list {
		go func() {
			ans, err := messenger.Call[PositionsQuestion, PositionsAnswer](ctx, gat.mes, ent.EntryAddress, "Positions", PositionsQuestion{})
			// The answer's own way counts for the time, so that it never covers more than it says.
			answers <- err == nil && ans.AnsweredFor[topic] >= within+gat.clk.Since(began)
		}()
	}
	for range list {
		if <-answers {
			return true
		}
	}
	return false
}
