package gatekeeper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/introducer"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/sharer"
	"github.com/lovagelever/lovagelever/tailer"
)

// ErrNoPeer says that no other entry gave a sign not long ago.
const ErrNoPeer = errors.ConstError("no other entry is heard")

// peers names the entries that get beats.
func (gat *Gatekeeper) peers() []sharer.Peer {
	var out []sharer.Peer
	for _, ent := range gat.itr.Others() {
		if adr, err := netip.ParseAddrPort(ent.Entries); err == nil {
			out = append(out, sharer.Peer{Name: ent.Name, Address: adr})
		}
	}
	gat.others.Store(int64(len(out)))
	return out
}

func (gat *Gatekeeper) beat() sharer.Beat {
	bea := sharer.Beat{
		Name: gat.set.Name, Incarnation: gat.self.Incarnation, Seq: gat.beats.Add(1),
		Stopping: gat.stopping.Load(), Running: map[uint64]int{}, Alive: map[uint64]bool{},
	}
	alive := gat.det.Alive()
	bea.Fresh = gat.fresh()
	for _, topic := range gat.topics() {
		bea.Ends = append(bea.Ends, gat.tails[topic].End())
	}
	for unit, num := range gat.dis.Running() {
		bea.Running[hash(unit)] = num
		bea.Alive[hash(unit)] = alive[unit]
	}
	for _, lif := range gat.det.Doubted() {
		bea.Doubts = append(bea.Doubts, lifeHash(lif))
	}
	return bea
}

// topics names the topics whose ends stand in beats, in their order there.
func (gat *Gatekeeper) topics() []string {
	return []string{gat.pla.Topics.Operator, gat.pla.Topics.Servers, gat.pla.Topics.Entries}
}

// fresh reports whether this entry reads the store and is up to date with it.
func (gat *Gatekeeper) fresh() bool {
	for _, tai := range gat.tails {
		if age, known := tai.Age(); !known || age > freshFor {
			return false
		}
	}
	return true
}

const (
	// readers is how many entries read the store for all: two, so that one may stop answering.
	readers = 2
	// freshFor is how old the last answer of the store may be; a reader gets one each 0.8 s, and another must take over well within the 2 s that changes may take.
	freshFor = 1100 * time.Millisecond
)

// noteReader keeps which other entries are up to date with the store.
func (gat *Gatekeeper) noteReader(bea sharer.Beat) {
	if bea.Fresh && !bea.Stopping {
		gat.readers.Store(bea.Name, gat.clk.Now())
	} else {
		gat.readers.Delete(bea.Name)
	}
	for num, topic := range gat.topics() {
		if num < len(bea.Ends) {
			gat.tails[topic].Poke(bea.Ends[num])
		}
	}
}

// reads reports whether this entry is one of those that read the store for all; only registered ones count as others, since no other can be asked.
func (gat *Gatekeeper) reads() bool {
	before := 0
	own := hash(gat.set.Name)
	for _, ent := range gat.itr.Others() {
		at, fresh := gat.readers.Load(ent.Name)
		if fresh && gat.clk.Since(at.(time.Time)) < gat.supportFor() && hash(ent.Name) < own {
			before++
		}
	}
	return before < readers || gat.ele != nil && gat.ele.IsLeader()
}

// Read reports whether enough others read the store.
func (ask asking) Read() bool {
	return !ask.gat.reads()
}

func (gat *Gatekeeper) onBeat(bea sharer.Beat) {
	gat.noteReader(bea)
	names := gat.units.Load().hashes
	running := map[string]int{}
	again := gat.beatEvery() + pulseSlack
	for key, num := range bea.Running {
		gat.served.Store(true)
		unit, known := names[key]
		if !known {
			continue
		}
		running[unit] = num
		if bea.Alive[key] {
			gat.det.Told(unit, again)
		}
	}
	gat.dis.SetRemoteLoad(bea.Name, running)
	if bea.Stopping {
		gat.itr.Stop(bea.Name, bea.Incarnation)
	}
	if len(bea.Doubts) > 0 {
		gat.support(bea.Doubts)
	}
}

// support takes the doubts of another entry, and has the servers asked from here too.
func (gat *Gatekeeper) support(doubts []uint64) {
	until := gat.clk.Now().Add(gat.supportFor())
	for _, ser := range gat.reg.View().Servers {
		if slices.Contains(doubts, lifeHash(ser.Life())) {
			gat.reg.Support(ser.Life(), until)
			gat.det.SuspectServer(ser)
		}
	}
}

const (
	// supportBeats is for how many beats what another entry tells counts: two in a row are hardly ever lost, and at 70 entries a lost reader must be missed well within the 3 s that changes may take.
	supportBeats = 3
	// leastSupport is what it counts at least; entries that are held up for a moment send nothing.
	leastSupport = 500 * time.Millisecond
	// pulseSlack is how late a beat may come and still be the next one.
	pulseSlack = 50 * time.Millisecond
)

// supportFor is how long what another entry tells counts.
func (gat *Gatekeeper) supportFor() time.Duration {
	return max(leastSupport, supportBeats*gat.beatEvery())
}

// beatEvery is the time between two beats of another entry.
func (gat *Gatekeeper) beatEvery() time.Duration {
	return sharer.Every(int(gat.others.Load()))
}

// rank is 0 for an entry that reads the store and 1 for any other.
func (gat *Gatekeeper) rank(name string) int {
	if _, fresh := gat.readers.Load(name); fresh {
		return 0
	}
	return 1
}

func (gat *Gatekeeper) onSilent(name string) {
	gat.dis.SetRemoteLoad(name, nil)
	gat.readers.Delete(name)
}

// Question asks for the records of a topic from an offset on.
type Question struct {
	Topic string
	From  int64
}

// receiver serves what other entries call.
type receiver struct {
	gat *Gatekeeper
}

// Records answers with the newest records of a topic as this entry knows them.
func (rec *receiver) Records(que *Question, ans *tailer.Page) error {
	tai, known := rec.gat.tails[que.Topic]
	if !known {
		return errors.NotFoundf("gatekeeper: topic %s", que.Topic)
	}
	pag, err := tai.Since(que.From)
	*ans = pag
	return err
}

// asking asks another entry for records.
type asking struct {
	gat *Gatekeeper
}

// Ask asks one entry, at random, that gave a sign not long ago.
func (ask asking) Ask(ctx context.Context, topic string, from int64) (tailer.Page, error) {
	others := ask.gat.itr.Others()
	rand.Shuffle(len(others), func(one, two int) { others[one], others[two] = others[two], others[one] })
	// Those that read the store come first.
	slices.SortStableFunc(others, func(one, two introducer.Entry) int {
		return cmp.Compare(ask.gat.rank(one.Name), ask.gat.rank(two.Name))
	})
	for _, ent := range others {
		if ask.gat.heard(ent.Name) {
			return messenger.Call[Question, tailer.Page](ctx, ask.gat.mes, ent.Entries, "Records", Question{Topic: topic, From: from})
		}
	}
	return tailer.Page{}, errors.Annotate(ErrNoPeer, "gatekeeper: ask for records")
}
