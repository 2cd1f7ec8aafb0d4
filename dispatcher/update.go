package dispatcher

import (
	"slices"
	"strings"
	"time"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/queuer"
)

// SetUnits replaces the list of units; a unit missing from it gets no new requests, and its running requests continue.
func (dis *Dispatcher) SetUnits(units []Unit) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	now := dis.opt.Clock.Now()
	for _, sta := range dis.units {
		sta.listed = false
	}
	for _, uni := range units {
		sta := dis.units[uni.ID]
		if sta == nil {
			sta = newUnitState(uni)
			dis.units[uni.ID] = sta
		}
		sta.setReadiness(uni.Readiness)
		sta.Unit, sta.listed = uni, true
		sta.updatePacing(now, dis.entries, dis.rank, dis.opt.Random())
	}
	for _, sta := range dis.units {
		if !sta.listed {
			sta.Readiness, sta.paced = Stopping, false
			dis.forgetIfIdle(sta)
		}
	}
	dis.rebuildPools()
}

// SetRemoteLoad sets the work that another entry has on each unit, by unit ID; nil removes the entry.
func (dis *Dispatcher) SetRemoteLoad(entry string, running map[string]estimator.Work) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	dis.addReported(dis.remoteByEntry[entry], estimator.Work.Minus)
	dis.addReported(running, estimator.Work.Plus)
	if running == nil {
		delete(dis.remoteByEntry, entry)
	} else {
		dis.remoteByEntry[entry] = running
	}
	for _, poo := range dis.pools {
		dis.dispatchWaiting(poo)
	}
}

// SetRemoteTotals sets the work that all other entries together have on each unit, by unit ID. It replaces what they report one by one until a time; age is how old the totals are at most.
func (dis *Dispatcher) SetRemoteTotals(totals map[string]estimator.Work, age time.Duration, until time.Time) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	dis.totals, dis.totalsAge, dis.totalsUntil = totals, age, until
	dis.refreshRemote()
	for _, poo := range dis.pools {
		dis.dispatchWaiting(poo)
	}
}

// HasTotals reports whether totals of the other entries apply.
func (dis *Dispatcher) HasTotals() bool {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	return dis.totalsApply()
}

// RemoteLoad returns the work that another entry reports for each unit, by unit ID; callers must not modify it.
func (dis *Dispatcher) RemoteLoad(entry string) map[string]estimator.Work {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	return dis.remoteByEntry[entry]
}

// ReportedTotals returns the work that all entries report for each unit, including this one, by unit ID.
func (dis *Dispatcher) ReportedTotals() map[string]estimator.Work {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[string]estimator.Work{}
	for id, sta := range dis.units {
		if wor := sta.own.Plus(sta.reported); !wor.IsZero() {
			out[id] = wor
		}
	}
	return out
}

// SetEntries sets how many entries share the units, including this one, and the rank of this one among them, from 0. While their number is unknown, which is 0, cold units get no requests.
func (dis *Dispatcher) SetEntries(num, rank int) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	begins := dis.entries == 0
	dis.entries, dis.rank = max(0, num), max(0, rank)
	if !begins {
		return
	}
	now := dis.opt.Clock.Now()
	for _, sta := range dis.units {
		sta.updatePacing(now, dis.entries, dis.rank, dis.opt.Random())
	}
}

// SetLoadAge sets how old the loads of other entries are at most.
func (dis *Dispatcher) SetLoadAge(age time.Duration) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	dis.loadAge = age
}

// Running returns the work that this entry has on each unit, by unit ID.
func (dis *Dispatcher) Running() map[string]estimator.Work {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[string]estimator.Work{}
	for id, sta := range dis.units {
		if !sta.own.IsZero() {
			out[id] = sta.own
		}
	}
	return out
}

// Load is the load of one pool; Slots and InUse cover all entries. A unit whose server limits the rate of requests has no more slots than it can use.
type Load struct {
	// Slots is the number of slots of all serving units, InUse the number of slots in use.
	Slots int
	InUse int
	// Waiting is the number of requests queued at this entry.
	Waiting int
}

// Loads returns the load of each pool, by pool name.
func (dis *Dispatcher) Loads() map[string]Load {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[string]Load{}
	for name, poo := range dis.pools {
		out[name] = dis.load(poo)
	}
	return out
}

func (dis *Dispatcher) load(poo *pool) Load {
	out := Load{Waiting: poo.queue.Len()}
	for _, sta := range poo.units {
		out.InUse += sta.own.Requests + sta.remote.Requests
		if sta.Readiness == Serving {
			out.Slots += dis.usableSlots(poo, sta)
		}
	}
	return out
}

// sumReported sums up what each other entry reports, after the list of units has changed.
func (dis *Dispatcher) sumReported() {
	for _, sta := range dis.units {
		sta.reported = estimator.Work{}
	}
	for _, running := range dis.remoteByEntry {
		dis.addReported(running, estimator.Work.Plus)
	}
}

// addReported adds the work that another entry reports to the load of the units, or takes it off.
func (dis *Dispatcher) addReported(running map[string]estimator.Work, change func(estimator.Work, estimator.Work) estimator.Work) {
	totals := dis.totalsApply()
	for id, wor := range running {
		sta := dis.units[id]
		if sta == nil {
			continue
		}
		sta.reported = change(sta.reported, wor)
		if !totals {
			sta.remote = sta.reported
		}
	}
}

func (dis *Dispatcher) totalsApply() bool {
	return dis.opt.Clock.Now().Before(dis.totalsUntil)
}

// remoteAge returns how old the load of the other entries is at most.
func (dis *Dispatcher) remoteAge() time.Duration {
	if dis.totalsApply() {
		return min(dis.totalsAge, dis.loadAge)
	}
	return dis.loadAge
}

// refreshRemote sets the load of the other entries that counts, from the totals while they apply.
func (dis *Dispatcher) refreshRemote() {
	totals := dis.totalsApply()
	for id, sta := range dis.units {
		sta.remote = sta.reported
		if totals {
			sta.remote = dis.totals[id]
		}
	}
}

// forgetIfIdle removes a unit that is no longer listed and runs no request.
func (dis *Dispatcher) forgetIfIdle(sta *unitState) {
	if !sta.listed && sta.own.Requests == 0 && dis.units[sta.ID] == sta {
		delete(dis.units, sta.ID)
		dis.opt.Breaker.Forget(sta.ID)
	}
}

// rebuildPools assigns the units to their pools and refuses the waiting requests that no unit is left for.
func (dis *Dispatcher) rebuildPools() {
	for _, poo := range dis.pools {
		poo.units = poo.units[:0]
	}
	for _, sta := range dis.units {
		poo := dis.pools[sta.Pool]
		if poo == nil {
			poo = &pool{queue: queuer.New(queuer.Options{Clock: dis.opt.Clock}), waiting: map[string]*waiter{}}
			dis.pools[sta.Pool] = poo
		}
		poo.units = append(poo.units, sta)
	}
	dis.sumReported()
	dis.refreshRemote()
	for _, poo := range dis.pools {
		slices.SortFunc(poo.units, func(one, two *unitState) int { return strings.Compare(one.ID, two.ID) })
		dis.refuseUnavailable(poo)
		dis.dispatchWaiting(poo)
	}
}
