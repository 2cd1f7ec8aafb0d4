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

// ringAt is the ring of the members in one view.
type ringAt struct {
	vie     *reducer.View
	members []peer
}

func (gos *Gossiper) mesh() bool {
	return len(gos.opt.State.View().Members) <= meshUpTo
}

func (gos *Gossiper) members() []peer {
	vie := gos.opt.State.View()
	if rin := gos.ring.Load(); rin != nil && rin.vie == vie {
		return rin.members
	}
	members := ringOf(vie.Members)
	gos.ring.Store(&ringAt{vie: vie, members: members})
	return members
}

// fingers are the peers that this entry pulls from.
func (gos *Gossiper) fingers() []peer {
	ring := gos.members()
	self := gos.Self()
	at := slices.IndexFunc(ring, func(pee peer) bool { return pee.incarnation == self })
	if at < 0 {
		return first(ring, meshUpTo)
	}
	var out []peer
	for _, dist := range distances(len(ring)) {
		out = append(out, ring[(at+dist)%len(ring)])
	}
	return out
}

// distances are the steps on a ring of the size: every one on a small ring, else the powers of two.
func distances(size int) []int {
	var out []int
	for dist := 1; dist < size; {
		out = append(out, dist)
		if size <= meshUpTo {
			dist++
		} else {
			dist *= 2
		}
	}
	return out
}

func ringOf(members map[string]reducer.Member) []peer {
	var ring []peer
	for inc, mem := range members {
		ring = append(ring, peer{name: mem.Name, incarnation: inc, address: mem.RPCAddress, score: assigner.Score("ring", mem.Name)})
	}
	slices.SortFunc(ring, func(one, two peer) int {
		return cmp.Or(cmp.Compare(one.score, two.score), strings.Compare(one.incarnation, two.incarnation))
	})
	return ring
}

func first(ring []peer, count int) []peer {
	return ring[:min(count, len(ring))]
}
