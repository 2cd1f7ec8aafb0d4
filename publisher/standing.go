package publisher

import (
	"fmt"

	"github.com/lovagelever/lovagelever/requester"
)

// Standing is how one entry stands towards a revision.
type Standing struct {
	Entry   string
	InForce bool
	Stale   bool
	Reached bool
	Shows   int64
}

// String tells the standing on one line.
func (std Standing) String() string {
	switch {
	case std.InForce:
		return fmt.Sprintf("%s: in force at revision %d", std.Entry, std.Shows)
	case std.Stale && std.Reached:
		return fmt.Sprintf("%s: reachable, past its freshness limit, at revision %d", std.Entry, std.Shows)
	case std.Stale:
		return fmt.Sprintf("%s: not reachable, past its freshness limit", std.Entry)
	case std.Reached:
		return fmt.Sprintf("%s: not in force yet, at revision %d", std.Entry, std.Shows)
	default:
		return fmt.Sprintf("%s: not reachable, may still take work at revision %d", std.Entry, std.Shows)
	}
}

func standings(sta requester.Status, revision int64) []Standing {
	out := make([]Standing, 0, len(sta.Entries))
	for _, ent := range sta.Entries {
		out = append(out, Standing{
			Entry:   ent.Name,
			InForce: ent.Reachable && ent.Revision >= revision,
			Stale:   !ent.Fresh,
			Reached: ent.Reachable,
			Shows:   ent.Revision,
		})
	}
	return out
}

// settled reports whether no entry may still take work at an older revision, and one at least is at the revision.
func settled(known []Standing) bool {
	inForce := 0
	for _, std := range known {
		if std.InForce {
			inForce++
			continue
		}
		if !std.Stale {
			return false
		}
	}
	return inForce > 0
}
