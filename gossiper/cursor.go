package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// cursor is how far the facts of a peer are known while certain origins were asked for, and up to which version the peer was told what is held here.
type cursor struct {
	at     uint64
	unseen string
	held   uint64
}

// moved is the cursor after an answer; what is held is named again when the answer was cut short.
func (cur cursor) moved(req Request, ans Answer, held uint64) cursor {
	next := cursor{at: ans.Cursor, unseen: strings.Join(req.Unseen, ","), held: held}
	if len(ans.Facts) >= maxFacts {
		next.held = cur.held
	}
	return next
}

// cursorOf is how far the facts of a peer are known, or nothing when other origins are asked for than last time.
func (gos *Gossiper) cursorOf(inc, unseen string) cursor {
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

// unseen says whether facts must be relayed for all, or else which members this entry has not heard lately.
func (gos *Gossiper) unseen(now time.Time) (bool, []string) {
	members := gos.opt.State.View().Members
	if len(members) > meshUpTo {
		return true, nil
	}
	var out []string
	silent := unseenAfter * gos.holdTime()
	for _, inc := range slices.Sorted(maps.Keys(members)) {
		if inc != gos.Self() && now.Sub(gos.Heard(inc)) > silent {
			out = append(out, inc)
		}
	}
	return false, out
}
