package gossiper

import (
	"bytes"
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

type factKey struct {
	subject string
	origin  string
}

type heldFact struct {
	Fact
	version uint64
	from    string
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
	gos.facts[factKey{subject: fac.Subject, origin: fac.Origin}] = heldFact{Fact: fac, version: gos.version, from: from}
}

func (gos *Gossiper) wake() {
	close(gos.changed)
	gos.changed = make(chan struct{})
}

// merge takes in newer facts of live members.
func (gos *Gossiper) merge(facts []Fact, from string) {
	members := gos.opt.State.View().Members
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	merged := false
	for _, fac := range facts {
		if _, live := members[fac.Origin]; !live || fac.Origin == gos.self {
			continue
		}
		old, known := gos.facts[factKey{subject: fac.Subject, origin: fac.Origin}]
		if known && old.Seq >= fac.Seq {
			continue
		}
		gos.hold(fac, from)
		merged = true
	}
	if merged {
		gos.wake()
	}
}

func (gos *Gossiper) since(version uint64, req Request) ([]Fact, uint64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	var held []heldFact
	newest := gos.version
	for _, fac := range gos.facts {
		if fac.version > version && gos.wanted(fac, req) {
			held = append(held, fac)
		}
	}
	slices.SortFunc(held, func(one, two heldFact) int { return int(one.version) - int(two.version) })
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
		}
	}
}
