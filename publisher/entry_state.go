package publisher

import (
	"fmt"

	"github.com/lovagelever/lovagelever/requester"
)

// EntryState is the state of one entry with respect to a revision: Stale means past its freshness limit, and Revision is the one that the entry has.
type EntryState struct {
	Entry     string
	InForce   bool
	Stale     bool
	Reachable bool
	Revision  int64
}

// String formats the state on one line.
func (est EntryState) String() string {
	switch {
	case est.InForce:
		return fmt.Sprintf("%s: in force at revision %d", est.Entry, est.Revision)
	case est.Stale && est.Reachable:
		return fmt.Sprintf("%s: reachable, past its freshness limit, at revision %d", est.Entry, est.Revision)
	case est.Stale:
		return fmt.Sprintf("%s: not reachable, past its freshness limit", est.Entry)
	case est.Reachable:
		return fmt.Sprintf("%s: not in force yet, at revision %d", est.Entry, est.Revision)
	default:
		return fmt.Sprintf("%s: not reachable, may still take work at revision %d", est.Entry, est.Revision)
	}
}

func entryStates(sta requester.Status, revision int64) []EntryState {
	out := make([]EntryState, 0, len(sta.Entries))
	for _, ent := range sta.Entries {
		out = append(out, EntryState{
			Entry:     ent.Name,
			InForce:   ent.Reachable && ent.Revision >= revision,
			Stale:     !ent.Fresh,
			Reachable: ent.Reachable,
			Revision:  ent.Revision,
		})
	}
	return out
}

// inForceEverywhere reports whether at least one entry has the revision in force and no other entry may still take work at an older one.
func inForceEverywhere(states []EntryState) bool {
	inForce := 0
	for _, est := range states {
		if est.InForce {
			inForce++
			continue
		}
		if !est.Stale {
			return false
		}
	}
	return inForce > 0
}
