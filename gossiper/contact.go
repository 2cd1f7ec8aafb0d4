package gossiper

import (
	"slices"
	"time"
)

// Contact counts the peers that this entry exchanges with, and those heard since a time.
func (gos *Gossiper) Contact(since time.Time) (heard, peers int) {
	for _, inc := range gos.neighbours() {
		peers++
		if gos.Heard(inc).After(since) {
			heard++
		}
	}
	return heard, peers
}

// Confirmed reports whether this entry and its peers that are known to have folded an offset are most of them all.
func (gos *Gossiper) Confirmed(offset int64) bool {
	peers := gos.neighbours()
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	folded := 1
	for _, inc := range peers {
		if gos.offsets[inc] >= offset {
			folded++
		}
	}
	return 2*folded > len(peers)+1
}

func (gos *Gossiper) noteOffset(inc string, offset int64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	gos.offsets[inc] = max(gos.offsets[inc], offset)
}

// Heard is the last time at which a peer was known to run.
func (gos *Gossiper) Heard(inc string) time.Time {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	return gos.hear[inc]
}

// Fingers returns the incarnations that this entry pulls from.
func (gos *Gossiper) Fingers() []string {
	var out []string
	for _, pee := range gos.fingers() {
		out = append(out, pee.incarnation)
	}
	return out
}

// neighbours are the peers at finger distance in both directions.
func (gos *Gossiper) neighbours() []string {
	ring := ringOf(gos.opt.State.View().Members)
	self := gos.Self()
	at := slices.IndexFunc(ring, func(pee peer) bool { return pee.incarnation == self })
	var out []string
	for num, pee := range ring {
		if at < 0 || near(num, at, len(ring)) {
			out = append(out, pee.incarnation)
		}
	}
	return out
}

func near(num, at, size int) bool {
	for _, dist := range distances(size) {
		if (at+dist)%size == num || (num+dist)%size == at {
			return true
		}
	}
	return false
}
