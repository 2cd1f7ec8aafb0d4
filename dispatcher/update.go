package dispatcher

import (
	"maps"
	"slices"
	"strings"

	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// SetUnits takes the units there are; one that is not named any more gets no request, and those that run on it go on.
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
			sta = newUnitState(uni, now, dis.entries)
			dis.units[uni.ID] = sta
		}
		if uni.Readiness == Broken && sta.Readiness != Broken {
			close(sta.broken)
			sta.broken = make(chan struct{})
		}
		sta.Unit, sta.listed = uni, true
	}
	for _, sta := range dis.units {
		if !sta.listed {
			sta.Readiness = Stopping
			dis.drop(sta)
		}
	}
	dis.regroup()
}

// SetForeign takes how many requests another entry runs on each unit; nil forgets the entry.
func (dis *Dispatcher) SetForeign(entry string, running map[string]int) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	if running == nil {
		delete(dis.foreign, entry)
	} else {
		dis.foreign[entry] = running
	}
	dis.sumForeign()
	for _, poo := range dis.pools {
		dis.pump(poo)
	}
}

// SetEntries takes how many entries share the units, this one included.
func (dis *Dispatcher) SetEntries(num int) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	dis.entries = max(1, num)
}

// Running returns how many requests of this entry run on each unit.
func (dis *Dispatcher) Running() map[string]int {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[string]int{}
	for id, sta := range dis.units {
		if sta.running > 0 {
			out[id] = sta.running
		}
	}
	return out
}

// Load is the state of one pool, over all entries.
type Load struct {
	// Slots is how many places the serving units have, and Taken how many are taken.
	Slots int
	Taken int
	// Waiting counts the requests that wait at this entry.
	Waiting int
}

// Loads returns the state of each pool.
func (dis *Dispatcher) Loads() map[string]Load {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[string]Load{}
	for name, poo := range dis.pools {
		out[name] = poo.load()
	}
	return out
}

func (poo *pool) load() Load {
	out := Load{Waiting: poo.queue.Len()}
	for _, sta := range poo.units {
		out.Taken += sta.running + sta.foreign
		if sta.Readiness == Serving {
			out.Slots += sta.Slots
		}
	}
	return out
}

func (dis *Dispatcher) sumForeign() {
	for _, sta := range dis.units {
		sta.foreign = 0
	}
	for _, running := range dis.foreign {
		for id, num := range running {
			if sta := dis.units[id]; sta != nil {
				sta.foreign += num
			}
		}
	}
}

// drop forgets a unit that is not listed any more and runs nothing.
func (dis *Dispatcher) drop(sta *unitState) {
	if !sta.listed && sta.running == 0 && dis.units[sta.ID] == sta {
		delete(dis.units, sta.ID)
		dis.opt.Breaker.Forget(sta.ID)
	}
}

// regroup sorts the units into their pools, and refuses what waits where no unit serves any more.
func (dis *Dispatcher) regroup() {
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
	dis.sumForeign()
	for name, poo := range dis.pools {
		slices.SortFunc(poo.units, func(one, two *unitState) int { return strings.Compare(one.ID, two.ID) })
		for _, id := range slices.Sorted(maps.Keys(poo.waiting)) {
			if wai := poo.waiting[id]; !poo.serving(wai.req) {
				poo.queue.Remove(id)
				poo.refuse(id, refuser.NotRun("no unit of "+name+" serves any more", refuser.DefaultRetryAfter))
			}
		}
		dis.pump(poo)
	}
}
