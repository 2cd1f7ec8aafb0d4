package reducer

import (
	"slices"
	"time"
)

type timedName struct {
	at   time.Time
	name string
}

type timedQueue []timedName

func (que *timedQueue) push(at time.Time, name string) {
	*que = append(*que, timedName{at: at, name: name})
}

func (que *timedQueue) popBefore(limit time.Time) (string, bool) {
	if len(*que) == 0 || !(*que)[0].at.Before(limit) {
		return "", false
	}
	name := (*que)[0].name
	*que = (*que)[1:]
	return name, true
}

func (que *timedQueue) sort() {
	slices.SortFunc(*que, func(one, two timedName) int {
		if cmp := one.at.Compare(two.at); cmp != 0 {
			return cmp
		}
		if one.name < two.name {
			return -1
		}
		return 1
	})
}

// removeExpired removes record IDs and claims that are past their window. A claim is kept until
// its key would be rejected as expired, so that a key can't be claimed twice.
func (sta *State) removeExpired() {
	for {
		id, old := sta.seenOrder.popBefore(sta.At.Add(-2 * IDWindow))
		if !old {
			break
		}
		delete(sta.Seen, id)
	}
	for {
		key, old := sta.claimOrder.popBefore(sta.At.Add(-ClaimWindow - 2*ClaimSkew))
		if !old {
			break
		}
		delete(sta.Claims, key)
	}
}

// Restore rebuilds the expiry queues and the duties of a decoded state.
func (sta *State) Restore() {
	sta.seenOrder = nil
	for id, see := range sta.Seen {
		sta.seenOrder.push(see.At, id)
	}
	sta.seenOrder.sort()
	sta.claimOrder = nil
	for key, cla := range sta.Claims {
		sta.claimOrder.push(cla.At, key)
	}
	sta.claimOrder.sort()
	sta.assignDuties()
}
