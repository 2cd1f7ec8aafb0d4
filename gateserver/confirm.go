package gateserver

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/rpc"
	"slices"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/confirmer"
	"github.com/lovagelever/lovagelever/messenger"
)

// buildConfirmer creates the component that checks whether this entry knows what the entries know that read the store.
func (gat *Server) buildConfirmer() {
	gat.cfm = confirmer.New(confirmer.Options{
		Follows: func() bool { return !gat.readsStore() }, Sources: gat.sources, Ask: gat.askPositions, OnPositions: gat.onPositions, ReadStore: gat.readStoreSoon,
		Others: func() int { return int(gat.peerCount.Load()) }, Clock: gat.clk, Logger: gat.log,
	})
}

// PositionsQuestion requests the positions of an entry in all topics.
type PositionsQuestion struct{}

// PositionsAnswer has the positions of an entry by topic, and whether it has recent state of all topics from the store.
type PositionsAnswer struct {
	UpToDate  bool
	Positions map[string]confirmer.Position
}

// Positions returns the positions of this entry.
func (rec *receiver) Positions(_ *PositionsQuestion, ans *PositionsAnswer) error {
	ans.UpToDate = rec.gat.upToDate()
	ans.Positions = map[string]confirmer.Position{}
	for topic, tai := range rec.gat.tailers {
		era, end := tai.End()
		ans.Positions[topic] = confirmer.Position{Era: era, End: end}
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

// heardEntries returns the entries that were heard recently, in random order, those first that read the store.
func (gat *Server) heardEntries() []advertiser.Entry {
	list := slices.DeleteFunc(gat.adv.Others(), func(ent advertiser.Entry) bool { return !gat.heardRecently(ent.Name) })
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
	ans, err := messenger.Call[PositionsQuestion, PositionsAnswer](ctx, gat.mes, address, "Positions", PositionsQuestion{})
	if _, remote := errors.AsType[rpc.ServerError](err); remote {
		return gat.askEnds(ctx, address)
	}
	if err != nil {
		return nil, err
	}
	if !ans.UpToDate {
		return nil, errors.Annotatef(confirmer.ErrOutdated, "gateserver: positions of %s", entry)
	}
	return ans.Positions, nil
}

// askEnds requests the records that this entry lacks, only to see where they end.
func (gat *Server) askEnds(ctx context.Context, address string) (map[string]confirmer.Position, error) {
	out := map[string]confirmer.Position{}
	for topic, tai := range gat.tailers {
		era, end := tai.End()
		pag, err := gat.requestRecords(ctx, address, Question{Topic: topic, Era: era, From: end})
		if err != nil {
			return nil, err
		}
		out[topic] = confirmer.Position{Era: pag.Era, End: pag.End}
	}
	return out, nil
}

// onPositions has the records requested of the topics of which another entry knows more.
func (gat *Server) onPositions(entry string, positions map[string]confirmer.Position) {
	for topic, pos := range positions {
		tai, known := gat.tailers[topic]
		if !known || !tai.IsBehind(pos.Era, pos.End) {
			continue
		}
		if topic == gat.pla.Topics.Operator {
			gat.log.WithFields(logrus.Fields{"topic": topic, "source": entry, "era": pos.Era, "end": pos.End}).Info("newer records learned by request before a heartbeat named them")
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
