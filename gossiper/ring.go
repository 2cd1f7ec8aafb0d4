package gossiper

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/reducer"
)

type peer struct {
	name        string
	incarnation string
	address     string
	score       uint64
}

// cachedRing holds the members of one view in ring order.
type cachedRing struct {
	vie     *reducer.View
	members []peer
}

func (gos *Gossiper) isMesh() bool {
	return len(gos.opt.State.View().Members) <= maxMeshSize
}

func (gos *Gossiper) ringMembers() []peer {
	vie := gos.opt.State.View()
	if rin := gos.ringCache.Load(); rin != nil && rin.vie == vie {
		return rin.members
	}
	members := newRing(vie.Members)
	gos.ringCache.Store(&cachedRing{vie: vie, members: members})
	return members
}

// pullPeers returns the peers that this entry pulls from.
func (gos *Gossiper) pullPeers() []peer {
	ring := gos.ringMembers()
	self := gos.Self()
	at := slices.IndexFunc(ring, func(pee peer) bool { return pee.incarnation == self })
	if at < 0 {
		return firstPeers(ring, maxMeshSize)
	}
	var out []peer
	for _, dist := range ringDistances(len(ring)) {
		out = append(out, ring[(at+dist)%len(ring)])
	}
	return out
}

// ringDistances returns the distances to the peers on a ring of the given size: all distances if it is small enough
// for a full mesh, else the powers of two.
func ringDistances(size int) []int {
	var out []int
	for dist := 1; dist < size; {
		out = append(out, dist)
		if size <= maxMeshSize {
			dist++
		} else {
			dist *= 2
		}
	}
	return out
}

func newRing(members map[string]reducer.Member) []peer {
	var ring []peer
	for inc, mem := range members {
		ring = append(ring, peer{name: mem.Name, incarnation: inc, address: mem.RPCAddress, score: assigner.Score("ring", mem.Name)})
	}
	slices.SortFunc(ring, func(one, two peer) int {
		return cmp.Or(cmp.Compare(one.score, two.score), strings.Compare(one.incarnation, two.incarnation))
	})
	return ring
}

func firstPeers(ring []peer, count int) []peer {
	return ring[:min(count, len(ring))]
}
