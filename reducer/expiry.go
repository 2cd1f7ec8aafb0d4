package reducer

import (
	"slices"
	"time"
)

type dated struct {
	at   time.Time
	name string
}

type datedQueue []dated

func (que *datedQueue) push(at time.Time, name string) {
	*que = append(*que, dated{at: at, name: name})
}

func (que *datedQueue) popBefore(limit time.Time) (string, bool) {
	if len(*que) == 0 || !(*que)[0].at.Before(limit) {
		return "", false
	}
	name := (*que)[0].name
	*que = (*que)[1:]
	return name, true
}

func (que *datedQueue) sort() {
	slices.SortFunc(*que, func(one, two dated) int {
		if cmp := one.at.Compare(two.at); cmp != 0 {
			return cmp
		}
		if one.name < two.name {
			return -1
		}
		return 1
	})
}

// forget drops what is older than its window; a claim is kept until its key would be refused as expired.
func (sta *State) forget() {
	for {
		id, old := sta.order.popBefore(sta.At.Add(-2 * IDWindow))
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

// Restore rebuilds what a decoded state derives.
func (sta *State) Restore() {
	sta.order = nil
	for id, see := range sta.Seen {
		sta.order.push(see.At, id)
	}
	sta.order.sort()
	sta.claimOrder = nil
	for key, cla := range sta.Claims {
		sta.claimOrder.push(cla.At, key)
	}
	sta.claimOrder.sort()
	sta.derive()
}
