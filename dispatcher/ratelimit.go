package dispatcher

import (
	"math"
	"time"

	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// permitDelay is how much later than expected a permit may come.
	permitDelay = 100 * time.Millisecond
	// permitSample is the number of units from whose permits the others' are estimated.
	permitSample = 2
	// permitBonus is how much more load, in requests, a unit may have for which there is a permit that would expire.
	permitBonus = 1.0
)

// RateLimits knows which backend servers limit the requests per second of all entries, and holds this entry's permits for them.
type RateLimits interface {
	// Limit returns the limit of a server; false means that it has none.
	Limit(ins registrar.Instance) (perSecond float64, limited bool)
	// Permits returns how many requests this entry may send to a limited server now, Spend takes one permit, and NextPermit returns when the next one is expected and the time between those that follow, if known.
	Permits(ins registrar.Instance) int
	Spend(ins registrar.Instance)
	NextPermit(ins registrar.Instance) (next time.Time, interval time.Duration, known bool)
}

// noRateLimits is used where backend servers name no limits.
type noRateLimits struct{}

func (noRateLimits) Limit(registrar.Instance) (float64, bool) { return 0, false }
func (noRateLimits) Permits(registrar.Instance) int           { return 0 }
func (noRateLimits) Spend(registrar.Instance)                 {}
func (noRateLimits) NextPermit(registrar.Instance) (next time.Time, interval time.Duration, known bool) {
	return next, interval, known
}

// lacksPermit reports whether the unit's server has a limit and this entry no permit for it.
func (dis *Dispatcher) lacksPermit(sta *unitState) bool {
	ins := sta.Instance()
	_, limited := dis.opt.RateLimits.Limit(ins)
	return limited && dis.opt.RateLimits.Permits(ins) == 0
}

// blockedUntil returns until when this entry may send nothing to a unit that serves, because of a pause or for lack of a permit; the zero time if it may, or nothing is known.
func (dis *Dispatcher) blockedUntil(sta *unitState) time.Time {
	until := dis.pauses[sta.Instance()]
	if dis.lacksPermit(sta) {
		if next, _, known := dis.opt.RateLimits.NextPermit(sta.Instance()); known && next.After(until) {
			until = next
		}
	}
	return until
}

// forecast is how many permits an entry will probably get for the units of a pool: by a time, and then per second.
type forecast struct {
	num       int
	perSecond float64
}

// forecastPermits estimates how many requests this entry can start by a time on units whose servers limit them; false means that it may start others, too, or that too little is known. Of many units those that the entry has asked for are a sample.
func (dis *Dispatcher) forecastPermits(poo *pool, by time.Time) (forecast, bool) {
	var sum forecast
	limits, told := 0, 0
	for _, sta := range poo.units {
		if sta.Readiness != Serving {
			continue
		}
		ins := sta.Instance()
		if _, limited := dis.opt.RateLimits.Limit(ins); !limited {
			return forecast{}, false
		}
		limits++
		sum.num += dis.opt.RateLimits.Permits(ins)
		next, interval, isTold := dis.opt.RateLimits.NextPermit(ins)
		if !isTold {
			continue
		}
		told++
		interval = max(interval, time.Millisecond)
		sum.perSecond += 1 / interval.Seconds()
		if !next.After(by) {
			sum.num += 1 + int(by.Sub(later(next, dis.opt.Clock.Now()))/interval)
		}
	}
	if limits == 0 || told < min(limits, permitSample) {
		return forecast{}, false
	}
	return forecast{num: sum.num * limits / told, perSecond: sum.perSecond * float64(limits) / float64(told)}, true
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// permitRefusal returns the refusal of a request if those ahead of it use up all permits that come before its latest start, or nil; place is its place in the order of arrival. A request that waits already may get its permit later than expected.
func (dis *Dispatcher) permitRefusal(poo *pool, req Request, place uint64, waits bool) error {
	by := req.StartBy
	if !waits {
		by = by.Add(-permitDelay)
	}
	fore, known := dis.forecastPermits(poo, by)
	if !known {
		return nil
	}
	ahead, rank := 0, queueItem(req).Priority
	for _, wai := range poo.waiting {
		if oth := queueItem(wai.req).Priority; oth > rank || oth == rank && wai.place < place {
			ahead++
		}
	}
	if fore.num > ahead {
		return nil
	}
	wait := time.Duration(min(float64(ahead+1)/fore.perSecond, queuer.MaxRetryAfter.Seconds()) * float64(time.Second))
	return refuser.NotRun("every unit of "+req.Pool+" is at its rate limit", wait)
}

// allLimited reports whether the servers of all serving units limit the rate of requests.
func (dis *Dispatcher) allLimited(poo *pool) bool {
	num := 0
	for _, sta := range poo.units {
		if sta.Readiness != Serving {
			continue
		}
		if _, limited := dis.opt.RateLimits.Limit(sta.Instance()); !limited {
			return false
		}
		num++
	}
	return num > 0
}

// usableSlots returns how many requests the unit can run at a time: at a limited rate not more than come within the time that one takes.
func (dis *Dispatcher) usableSlots(poo *pool, sta *unitState) int {
	perSecond, limited := dis.opt.RateLimits.Limit(sta.Instance())
	if !limited || poo.meanDuration <= 0 {
		return sta.Slots
	}
	return int(min(float64(sta.Slots), math.Ceil(perSecond*poo.meanDuration.Seconds())))
}

// freeSlots returns how many more requests this entry could send to the unit.
func (dis *Dispatcher) freeSlots(sta *unitState) int {
	free := max(0, sta.Slots-sta.own.Requests-sta.remote.Requests)
	if _, limited := dis.opt.RateLimits.Limit(sta.Instance()); limited {
		return min(free, dis.opt.RateLimits.Permits(sta.Instance()))
	}
	return free
}
