package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
)

// Pause keeps the requests of this entry away from a backend server for a while; of several pauses the one that ends last holds. Waiting requests that no other unit can start in time are refused. It reports false if the server was paused already.
func (dis *Dispatcher) Pause(ins registrar.Instance, dur time.Duration) bool {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	now := dis.opt.Clock.Now()
	was, until := dis.pauses[ins], now.Add(dur)
	if until.After(was) {
		dis.pauses[ins] = until
	}
	for _, poo := range dis.pools {
		dis.refuseUnavailable(poo)
	}
	return !was.After(now)
}

// Paused reports whether a backend server wants no requests from this entry now.
func (dis *Dispatcher) Paused(ins registrar.Instance) bool {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	return dis.pauses[ins].After(dis.opt.Clock.Now())
}

// Withdrawn reports whether the unit has asked for a pause or has begun to stop since the slot was allocated.
func (pla *Placement) Withdrawn() bool {
	return pla.dis != nil && (pla.dis.Paused(pla.Unit.Instance()) || pla.dis.stops(pla.sta))
}

func (dis *Dispatcher) stops(sta *unitState) bool {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	return sta.Readiness == Stopping
}

func (dis *Dispatcher) expirePauses() {
	now := dis.opt.Clock.Now()
	maps.DeleteFunc(dis.pauses, func(_ registrar.Instance, until time.Time) bool { return !until.After(now) })
}

// canStart reports whether a unit serves, and takes requests by a time as far as pauses and rate limits are concerned.
func (dis *Dispatcher) canStart(sta *unitState, by time.Time) bool {
	if sta.Readiness != Serving {
		return false
	}
	until := dis.blockedUntil(sta)
	return until.Before(by) || !until.After(dis.opt.Clock.Now())
}

// unavailable returns the refusal of a request that no unit can start in time, because none serves, or those that do want a pause or are at their rate limit, or nil.
func (dis *Dispatcher) unavailable(poo *pool, req Request, place uint64, waits bool) error {
	if err := dis.permitRefusal(poo, req, place, waits); err != nil {
		return err
	}
	now, serving := dis.opt.Clock.Now(), 0
	var free time.Time
	for _, sta := range poo.units {
		// A suspected unit may answer again within the time for which a resumed request can wait.
		if req.Resumed && sta.Readiness == Suspected && !slices.Contains(req.Exclude, sta.ID) {
			return nil
		}
		if sta.Readiness != Serving {
			continue
		}
		if !slices.Contains(req.Exclude, sta.ID) && dis.canStart(sta, req.StartBy) {
			return nil
		}
		if until := dis.blockedUntil(sta); serving == 0 || until.Before(free) {
			free = until
		}
		serving++
	}
	if free.After(now) {
		return refuser.NotRun("every unit of "+req.Pool+" wants a pause or is at its rate limit", free.Sub(now))
	}
	return noUnitServing(req.Pool)
}

func noUnitServing(pool string) error {
	return refuser.NotRun("no unit of "+pool+" is serving", refuser.DefaultRetryAfter)
}

// refuseUnavailable refuses the waiting requests that no unit can start in time.
func (dis *Dispatcher) refuseUnavailable(poo *pool) {
	for _, id := range slices.Sorted(maps.Keys(poo.waiting)) {
		if err := dis.unavailable(poo, poo.waiting[id].req, poo.waiting[id].place, true); err != nil {
			poo.queue.Remove(id)
			poo.refuse(id, err)
		}
	}
}
