package gossiper

import "time"

// Contact counts the peers that this entry pulls from, and those with whose state it was level after the time.
//
// A peer's request does not count: it may have waited here while this entry was paused.
func (gos *Gossiper) Contact(since time.Time) (heard, peers int) {
	fingers := gos.Fingers()
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for _, inc := range fingers {
		if gos.current[inc].After(since) {
			heard++
		}
	}
	return heard, len(fingers)
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
