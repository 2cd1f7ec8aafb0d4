package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/estimator"
)

// Option is one unit that a request could go to. Work is the work of all entries there, FirstEvent the predicted time to the request's first event, zero if unknown, and Obstacle why the unit can't take the request now, empty if it can.
type Option struct {
	Unit       Unit
	Work       estimator.Work
	FirstEvent time.Duration
	Obstacle   string
}

// Explanation says where a request would go now. Options are sorted by preference, those of the own zone first. Leaving is the share of requests that leaves the zone, and Refusal the error that the request would get at once, or nil.
type Explanation struct {
	Options []Option
	Waiting int
	Leaving float64
	Refusal error
}

// Explain returns where a request would go now, without placing it; it changes nothing.
func (dis *Dispatcher) Explain(req Request) Explanation {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	poo := dis.pools[req.Pool]
	if poo == nil {
		return Explanation{Refusal: noUnitServing(req.Pool)}
	}
	out := Explanation{Waiting: poo.queue.Len(), Refusal: dis.unavailable(poo, req, poo.arrived+1, false)}
	if out.Refusal == nil {
		out.Refusal = dis.refuseLate(poo, req)
	}
	if poo.zones.spi != nil {
		out.Leaving, _ = poo.zones.spi.Share()
	}
	now := dis.opt.Clock.Now()
	for _, sta := range poo.units {
		opt := Option{Unit: sta.Unit, Work: sta.own.Plus(sta.remote), Obstacle: dis.obstacle(sta, req, now)}
		if poo.predicts() {
			opt.FirstEvent = dis.predict(poo, sta, req, poo.reportsUnread(), now).first
		}
		out.Options = append(out.Options, opt)
	}
	slices.SortStableFunc(out.Options, func(one, two Option) int {
		return cmp.Or(
			compareBool(one.Obstacle != "", two.Obstacle != ""), compareBool(one.Unit.Zone != dis.opt.Zone, two.Unit.Zone != dis.opt.Zone),
			cmp.Compare(one.FirstEvent, two.FirstEvent), cmp.Compare(one.Work.Requests, two.Work.Requests),
		)
	})
	return out
}

// obstacle returns why a unit can't take a request now, empty if it can.
func (dis *Dispatcher) obstacle(sta *unitState, req Request, now time.Time) string {
	switch {
	case sta.Readiness != Serving:
		return sta.Readiness.String()
	case sta.own.Requests+sta.remote.Requests >= sta.Slots || now.Before(sta.fullUntil):
		return "no free slot"
	case sta.cold(now) && now.Before(sta.nextColdStart):
		return "cold"
	case dis.pauses[sta.Instance()].After(now):
		return "wants a pause"
	case dis.lacksPermit(sta):
		return "at its rate limit"
	case dis.opt.Breaker.IsOpen(sta.ID):
		return "circuit breaker is open"
	case sta.Estimator != nil && !dis.fitsMemory(sta, req, now):
		return "no memory"
	}
	return ""
}

func compareBool(one, two bool) int {
	switch {
	case one == two:
		return 0
	case two:
		return -1
	}
	return 1
}
