package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

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
	return out
}

func (gat *Gatekeeper) beat() sharer.Beat {
	bea := sharer.Beat{
		Name: gat.set.Name, Incarnation: gat.self.Incarnation, Seq: gat.beats.Add(1),
		Stopping: gat.stopping.Load(), Running: map[uint64]int{}, Alive: map[uint64]bool{},
	}
	alive := gat.det.Alive()
	for unit, num := range gat.dis.Running() {
		bea.Running[hash(unit)] = num
		bea.Alive[hash(unit)] = alive[unit]
	}
	for _, lif := range gat.det.Doubted() {
		bea.Doubts = append(bea.Doubts, lifeHash(lif))
	}
	return bea
}

func (gat *Gatekeeper) onBeat(bea sharer.Beat) {
	names := gat.units.Load().hashes
	running := map[string]int{}
	for key, num := range bea.Running {
		gat.served.Store(true)
		unit, known := names[key]
		if !known {
			continue
		}
		running[unit] = num
		if bea.Alive[key] {
			gat.det.Told(unit)
		}
	}
	gat.dis.SetForeign(bea.Name, running)
	if bea.Stopping {
		gat.itr.Stop(bea.Name, bea.Incarnation)
	}
	if len(bea.Doubts) > 0 {
		gat.support(bea.Doubts)
	}
}

// support takes the doubts of another entry, and has the servers asked from here too.
func (gat *Gatekeeper) support(doubts []uint64) {
	until := gat.clk.Now().Add(supportFor)
	for _, ser := range gat.reg.View().Servers {
		if slices.Contains(doubts, lifeHash(ser.Life())) {
			gat.reg.Support(ser.Life(), until)
			gat.det.SuspectServer(ser)
		}
	}
}

// supportFor is how long the doubt of another entry counts; beats repeat it every 100 ms.
const supportFor = 500 * time.Millisecond

func (gat *Gatekeeper) onSilent(name string) {
	gat.dis.SetForeign(name, nil)
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
	for _, ent := range others {
		if ask.gat.heard(ent.Name) {
			return messenger.Call[Question, tailer.Page](ctx, ask.gat.mes, ent.Entries, "Records", Question{Topic: topic, From: from})
		}
	}
	return tailer.Page{}, errors.WithType(errors.New("gatekeeper: no entry to ask"), ErrNoPeer)
}
