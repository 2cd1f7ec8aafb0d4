package dispatcher

import (
	"math"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// permitLead is the time for whose requests an entry asks for permits in advance, so that they need not wait for an answer.
	permitLead = 250 * time.Millisecond
	// askedBonus is how much more load, in requests, a unit may have that permits were asked for already: other entries would wait while this one changes its mind.
	askedBonus = 1.0
	// arrivalMemory is the time over which the rate of arriving requests is averaged.
	arrivalMemory = time.Second
)

// PermitDemand returns how many permits this entry wants for each limited server: for its waiting requests, and for those that will arrive within permitLead. It prefers servers for which it has asked already.
func (dis *Dispatcher) PermitDemand(asked map[registrar.Instance]ratelimiter.Ask) map[registrar.Instance]ratelimiter.Ask {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[registrar.Instance]ratelimiter.Ask{}
	for _, poo := range dis.pools {
		dis.addPermitDemand(poo, asked, out)
	}
	return out
}

// addPermitDemand adds what this entry wants for the units of a pool, each permit of the unit with the least load.
func (dis *Dispatcher) addPermitDemand(poo *pool, asked, out map[registrar.Instance]ratelimiter.Ask) {
	now := dis.opt.Clock.Now()
	list, held := dis.permitCandidates(poo, asked)
	within := permitLead
	for _, wai := range poo.waiting {
		within = max(within, wai.req.StartBy.Sub(now))
	}
	expected := int(poo.arrivals.perSecond(now) * permitLead.Seconds())
	for need := poo.queue.Len() + expected - held; need > 0 && len(list) > 0; need-- {
		pos := 0
		for num := range list {
			if list[num].cost < list[pos].cost {
				pos = num
			}
		}
		can := &list[pos]
		out[can.ins] = ratelimiter.Ask{Server: can.ins, Count: out[can.ins].Count + 1, Within: within}
		can.cost++
		if can.free--; can.free == 0 {
			list = slices.Delete(list, pos, pos+1)
		}
	}
}

// permitCandidate is a limited unit that this entry can ask permits for. Cost is its load in requests, with those that the entry could send already, free how many more the unit has slots for.
type permitCandidate struct {
	ins  registrar.Instance
	cost float64
	free int
}

// permitCandidates returns the limited units of a pool that can take requests, and how many permits this entry holds for the pool.
func (dis *Dispatcher) permitCandidates(poo *pool, asked map[registrar.Instance]ratelimiter.Ask) (list []permitCandidate, held int) {
	now := dis.opt.Clock.Now()
	for _, sta := range poo.units {
		ins := sta.Instance()
		perSecond, limited := dis.opt.RateLimits.Limit(ins)
		if !limited {
			continue
		}
		own := dis.opt.RateLimits.Permits(ins)
		held += own
		free := sta.Slots - sta.own.Requests - sta.remote.Requests - own
		if sta.Readiness != Serving || free <= 0 || dis.pauses[ins].After(now) || dis.opt.Breaker.IsOpen(sta.ID) {
			continue
		}
		cost := sta.score(dis.opt.Zone)*float64(max(1, sta.Slots)) + float64(own) + tieBreak*dis.opt.Random()
		if next, _, known := dis.opt.RateLimits.NextPermit(ins); known && next.After(now) {
			cost += next.Sub(now).Seconds() * perSecond
		}
		if asked[ins].Count > 0 {
			cost -= askedBonus
		}
		list = append(list, permitCandidate{ins: ins, cost: cost, free: free})
	}
	return list, held
}

// arrivalRate is the rate of arriving requests, averaged over arrivalMemory.
type arrivalRate struct {
	count float64
	at    time.Time
}

func (arr *arrivalRate) record(now time.Time) {
	arr.count = arr.decayed(now) + 1
	arr.at = now
}

func (arr *arrivalRate) decayed(now time.Time) float64 {
	return arr.count * math.Exp(-now.Sub(arr.at).Seconds()/arrivalMemory.Seconds())
}

func (arr *arrivalRate) perSecond(now time.Time) float64 {
	return arr.decayed(now) / arrivalMemory.Seconds()
}
