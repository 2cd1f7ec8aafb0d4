package gossiper

import "time"

// PeersInSync returns the number of pull peers with which this entry was in sync after the time since, and the number of
// all pull peers.
//
// A request from a peer does not count: it may have been queued while this entry was paused.
func (gos *Gossiper) PeersInSync(since time.Time) (inSync, peers int) {
	pulled := gos.PullPeers()
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	for _, inc := range pulled {
		if gos.lastInSync[inc].After(since) {
			inSync++
		}
	}
	return inSync, len(pulled)
}

// RegionsInSync returns the number of regions in which this entry was in sync with a peer after the time since, its own
// included, and the number of regions of all members.
//
// In a full mesh a majority of the peers is a majority of the members, whatever their regions, so it returns 1 of 1. On a
// larger ring the peers are a sample, which could by chance lie mostly in one region that is cut off.
func (gos *Gossiper) RegionsInSync(since time.Time) (inSyncCount, total int) {
	members := gos.opt.State.View().Members
	if len(members) <= maxMeshSize {
		return 1, 1
	}
	pulled := gos.PullPeers()
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	allRegions, inSync := map[string]bool{}, map[string]bool{members[gos.self].Region: true}
	for _, mem := range members {
		allRegions[mem.Region] = true
	}
	for _, inc := range pulled {
		if gos.lastInSync[inc].After(since) {
			inSync[members[inc].Region] = true
		}
	}
	return len(inSync), len(allRegions)
}

// AppliedByMajority reports whether a majority of this entry and its peers is known to have applied the log up to an offset.
func (gos *Gossiper) AppliedByMajority(offset int64) bool {
	peers := gos.PullPeers()
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	applied := 1
	for _, inc := range peers {
		if gos.offsets[inc] >= offset {
			applied++
		}
	}
	return 2*applied > len(peers)+1
}

func (gos *Gossiper) noteOffset(inc string, offset int64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	gos.offsets[inc] = max(gos.offsets[inc], offset)
}

// LastHeard returns the last time at which a peer was known to be running, or the zero time.
func (gos *Gossiper) LastHeard(inc string) time.Time {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	return gos.lastHeard[inc]
}

// PullPeers returns the incarnations of the peers that this entry pulls from.
func (gos *Gossiper) PullPeers() []string {
	var out []string
	for _, pee := range gos.pullPeers() {
		out = append(out, pee.incarnation)
	}
	return out
}
