package conductor

import (
	"math"
	"time"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// lossCount is the number of servers of a service that were lost lately.
type lossCount struct {
	count float64
	at    time.Time
	// members holds the members of groups that were not lost.
	members map[registrar.Instance]bool
}

// countLosses counts the members of groups that were lost or began to leave since the last step. The count decays over the longest load from the weight store, after which a replacement serves.
func (con *Conductor) countLosses(ser router.Service, vie *registrar.View) {
	con.mux.Lock()
	defer con.mux.Unlock()
	now := con.opt.Clock.Now()
	old := con.losses[ser.Name]
	out := lossCount{at: now, members: map[registrar.Instance]bool{}}
	if memory := longestLoad(ser); memory > 0 {
		out.count = old.count * math.Exp(-now.Sub(old.at).Seconds()/memory.Seconds())
	}
	for ins := range old.members {
		if isLost(vie, ins) {
			out.count++
		}
	}
	for _, frm := range con.formations {
		if frm.Service != ser.Name {
			continue
		}
		for _, ins := range frm.Members {
			if !isLost(vie, ins) {
				out.members[ins] = true
			}
		}
	}
	con.losses[ser.Name] = out
}

// isLost reports whether a server is off the list, was restarted, drains, or certainly does not answer.
func isLost(vie *registrar.View, ins registrar.Instance) bool {
	ser, listed := vie.Servers[ins.ID]
	return !listed || ser.Instance() != ins || ser.Draining || vie.SuspicionConfirmed(ins)
}

// longestLoad returns how long the slowest load from the weight store takes.
func longestLoad(ser router.Service) time.Duration {
	longest := time.Duration(0)
	for _, mod := range ser.Engine.Models {
		longest = max(longest, mod.StoreLoadTime)
	}
	return longest
}
