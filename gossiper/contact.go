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

// Regions counts the regions of all members, and those of which this entry is or was level with a peer after the time.
//
// In a full mesh most peers are most members, whatever their regions, and one of one is returned. On a larger ring the
// peers are a sample, which could by chance lie mostly in one region that is cut off.
func (gos *Gossiper) Regions(since time.Time) (heard, all int) {
	members := gos.opt.State.View().Members
	if len(members) <= meshUpTo {
		return 1, 1
	}
	fingers := gos.Fingers()
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	every, level := map[string]bool{}, map[string]bool{members[gos.self].Region: true}
	for _, mem := range members {
		every[mem.Region] = true
	}
	for _, inc := range fingers {
		if gos.current[inc].After(since) {
			level[members[inc].Region] = true
		}
	}
	return len(level), len(every)
}

// Confirmed reports whether this entry and its peers that are known to have folded an offset are most of them all.
func (gos *Gossiper) Confirmed(offset int64) bool {
	peers := gos.Fingers()
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
