package gossiper

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// Fact is what the incarnation Origin states about a subject; a higher Seq is newer.
type Fact struct {
	Subject string
	Origin  string
	Seq     uint64
	Body    []byte
}

// arrivalSlack is how many items beyond twice the number of facts the arrival list may hold before superseded ones are removed.
const arrivalSlack = 64

type factKey struct {
	subject string
	origin  string
}

type storedFact struct {
	Fact
	version     uint64
	sender      string
	fingerprint fingerprint
}

// arrival is an item of the list of facts in order of arrival; it is superseded when the fact has a newer version.
type arrival struct {
	key     factKey
	version uint64
}

// Set publishes a fact of this entry; a body equal to the last one is not sent again.
func (gos *Gossiper) Set(subject string, body []byte) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	key := factKey{subject: subject, origin: gos.self}
	old, known := gos.facts[key]
	if known && bytes.Equal(old.Body, body) {
		return
	}
	gos.store(Fact{Subject: subject, Origin: gos.self, Seq: old.Seq + 1, Body: body}, gos.self)
	gos.notify()
}

// Get returns the body of the fact that an incarnation states about a subject.
func (gos *Gossiper) Get(subject, origin string) ([]byte, bool) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	fac, known := gos.facts[factKey{subject: subject, origin: origin}]
	return fac.Body, known
}

// All returns the facts of all origins whose subjects begin with a prefix.
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

func (gos *Gossiper) store(fac Fact, from string) {
	gos.version++
	key := factKey{subject: fac.Subject, origin: fac.Origin}
	gos.facts[key] = storedFact{Fact: fac, version: gos.version, sender: from, fingerprint: fingerprintOf(fac)}
	gos.arrivals = append(gos.arrivals, arrival{key: key, version: gos.version})
	if len(gos.arrivals) > 2*len(gos.facts)+arrivalSlack {
		gos.arrivals = slices.DeleteFunc(gos.arrivals, func(arr arrival) bool { return gos.facts[arr.key].version != arr.version })
	}
}

// factsAfter returns the facts stored after a version, in order of arrival.
func (gos *Gossiper) factsAfter(version uint64) []storedFact {
	at, _ := slices.BinarySearchFunc(gos.arrivals, version+1, func(arr arrival, least uint64) int { return cmp.Compare(arr.version, least) })
	var out []storedFact
	for _, arr := range gos.arrivals[at:] {
		if fac := gos.facts[arr.key]; fac.version == arr.version {
			out = append(out, fac)
		}
	}
	return out
}

func (gos *Gossiper) notify() {
	close(gos.changed)
	gos.changed = make(chan struct{})
}

// merge stores the newer facts of live members, and reports whether the origins of all the facts are live members.
func (gos *Gossiper) merge(facts []Fact, from string) bool {
	members := gos.opt.State.View().Members
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	merged, allKnown := false, true
	for _, fac := range facts {
		if _, live := members[fac.Origin]; !live {
			allKnown = false
			continue
		}
		if fac.Origin == gos.self {
			continue
		}
		old, stored := gos.facts[factKey{subject: fac.Subject, origin: fac.Origin}]
		if stored && old.Seq >= fac.Seq {
			continue
		}
		gos.store(fac, from)
		merged = true
	}
	if merged {
		gos.notify()
	}
	return allKnown
}

func (gos *Gossiper) factsFor(version uint64, req Request) ([]Fact, uint64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	var selected []storedFact
	newest := gos.version
	for _, fac := range gos.factsAfter(version) {
		if gos.shouldSend(fac, req) {
			selected = append(selected, fac)
		}
	}
	if len(selected) > maxFacts {
		selected = selected[:maxFacts]
		newest = selected[maxFacts-1].version
	}
	var out []Fact
	for _, fac := range selected {
		out = append(out, fac.Fact)
	}
	return out, newest
}

// removeDeparted removes the facts of origins that are no longer members, and the state kept for such peers.
func (gos *Gossiper) removeDeparted() {
	members := gos.opt.State.View().Members
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for key := range gos.facts {
		if _, live := members[key.origin]; !live && key.origin != gos.self {
			delete(gos.facts, key)
		}
	}
	for inc := range gos.lastHeard {
		if _, live := members[inc]; !live {
			delete(gos.lastHeard, inc)
			delete(gos.offsets, inc)
			delete(gos.lastInSync, inc)
			delete(gos.cursors, inc)
			delete(gos.remembered, inc)
		}
	}
}
