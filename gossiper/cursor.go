package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// cursor is the position in an exchange with one peer: the peer's fact version up to which its facts were received
// for a given list of unseen origins, and the own fact version up to which fingerprints were advertised to the peer.
type cursor struct {
	version    uint64
	unseen     string
	advertised uint64
}

// advance returns the cursor after an answer. A truncated answer leaves the advertised version as it was, so that
// the same fingerprints are sent again.
func (cur cursor) advance(req Request, ans Answer, advertised uint64) cursor {
	next := cursor{version: ans.Cursor, unseen: strings.Join(req.Unseen, ","), advertised: advertised}
	if len(ans.Facts) >= maxFacts {
		next.advertised = cur.advertised
	}
	return next
}

// cursorFor returns the cursor for a peer, or the zero cursor if the list of unseen origins has changed since the last pull.
func (gos *Gossiper) cursorFor(inc, unseen string) cursor {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	if cur := gos.cursors[inc]; cur.unseen == unseen {
		return cur
	}
	return cursor{}
}

func (gos *Gossiper) setCursor(inc string, cur cursor) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	gos.cursors[inc] = cur
}

// relayScope reports whether peers must relay the facts of all origins, as on a ring. In a full mesh it returns instead
// the members that this entry has not heard from recently.
func (gos *Gossiper) relayScope(now time.Time) (bool, []string) {
	members := gos.opt.State.View().Members
	if len(members) > maxMeshSize {
		return true, nil
	}
	var out []string
	silenceLimit := unseenAfterHolds * gos.holdTime()
	for _, inc := range slices.Sorted(maps.Keys(members)) {
		if inc != gos.Self() && now.Sub(gos.LastHeard(inc)) > silenceLimit {
			out = append(out, inc)
		}
	}
	return false, out
}
