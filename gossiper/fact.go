package gossiper

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// Fact is what the incarnation Origin says of a subject; a higher Seq is newer.
type Fact struct {
	Subject string
	Origin  string
	Seq     uint64
	Body    []byte
}

// spareOrder is by how much the order may outgrow twice the facts.
const spareOrder = 64

type factKey struct {
	subject string
	origin  string
}

type heldFact struct {
	Fact
	version uint64
	from    string
	mark    mark
}

// ordered is a fact's place in the order in which facts came.
type ordered struct {
	key     factKey
	version uint64
}

// Set states a fact of this entry; it is passed on only when the body differs from the last.
func (gos *Gossiper) Set(subject string, body []byte) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	key := factKey{subject: subject, origin: gos.self}
	old, known := gos.facts[key]
	if known && bytes.Equal(old.Body, body) {
		return
	}
	gos.hold(Fact{Subject: subject, Origin: gos.self, Seq: old.Seq + 1, Body: body}, gos.self)
	gos.wake()
}

// Get returns what an incarnation says of a subject.
func (gos *Gossiper) Get(subject, origin string) ([]byte, bool) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	fac, known := gos.facts[factKey{subject: subject, origin: origin}]
	return fac.Body, known
}

// All returns the facts whose subjects begin with a prefix.
func (gos *Gossiper) All(prefix string) []Fact {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	var out []Fact
	for key, fac := range gos.facts {
		if strings.HasPrefix(key.subject, prefix) {
			out = append(out, fac.Fact)
		}
	}
	return out
}

func (gos *Gossiper) hold(fac Fact, from string) {
	gos.version++
	key := factKey{subject: fac.Subject, origin: fac.Origin}
	gos.facts[key] = heldFact{Fact: fac, version: gos.version, from: from, mark: markOf(fac)}
	gos.order = append(gos.order, ordered{key: key, version: gos.version})
	if len(gos.order) > 2*len(gos.facts)+spareOrder {
		gos.order = slices.DeleteFunc(gos.order, func(ord ordered) bool { return gos.facts[ord.key].version != ord.version })
	}
}

// after returns the facts that came after a version, in their order.
func (gos *Gossiper) after(version uint64) []heldFact {
	at, _ := slices.BinarySearchFunc(gos.order, version+1, func(ord ordered, least uint64) int { return cmp.Compare(ord.version, least) })
	var out []heldFact
	for _, ord := range gos.order[at:] {
		if fac := gos.facts[ord.key]; fac.version == ord.version {
			out = append(out, fac)
		}
	}
	return out
}

func (gos *Gossiper) wake() {
	close(gos.changed)
	gos.changed = make(chan struct{})
}

// merge takes in newer facts of live members, and reports whether the origins of all are.
func (gos *Gossiper) merge(facts []Fact, from string) bool {
	members := gos.opt.State.View().Members
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	merged, known := false, true
	for _, fac := range facts {
		if _, live := members[fac.Origin]; !live {
			known = false
			continue
		}
		if fac.Origin == gos.self {
			continue
		}
		old, held := gos.facts[factKey{subject: fac.Subject, origin: fac.Origin}]
		if held && old.Seq >= fac.Seq {
			continue
		}
		gos.hold(fac, from)
		merged = true
	}
	if merged {
		gos.wake()
	}
	return known
}

func (gos *Gossiper) since(version uint64, req Request) ([]Fact, uint64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	var held []heldFact
	newest := gos.version
	for _, fac := range gos.after(version) {
		if gos.wanted(fac, req) {
			held = append(held, fac)
		}
	}
	if len(held) > maxFacts {
		held = held[:maxFacts]
		newest = held[maxFacts-1].version
	}
	var out []Fact
	for _, fac := range held {
		out = append(out, fac.Fact)
	}
	return out, newest
}

// sweep drops the facts whose origin is no longer a member.
func (gos *Gossiper) sweep() {
	members := gos.opt.State.View().Members
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for key := range gos.facts {
		if _, live := members[key.origin]; !live && key.origin != gos.self {
			delete(gos.facts, key)
		}
	}
	for inc := range gos.hear {
		if _, live := members[inc]; !live {
			delete(gos.hear, inc)
			delete(gos.offsets, inc)
			delete(gos.current, inc)
			delete(gos.cursors, inc)
			delete(gos.named, inc)
		}
	}
}
