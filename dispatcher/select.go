package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

// tieBreak is the largest random cost, in requests, by which units of the same load are told apart.
const tieBreak = 1e-3

// candidate is a unit that can take a request. Cost is its load in requests, with the penalties of its score, or in seconds where times are predicted, and first the predicted time to the first event of the request, zero if unknown.
type candidate struct {
	sta   *unitState
	cost  float64
	first time.Duration
	// unread is the number of prompt tokens that wait at the unit, rate how many it reads per second, and perRequest how long it reads a usual prompt; zero if unknown.
	unread     int
	rate       float64
	perRequest time.Duration
	// reported says that other entries report their unread prompt tokens.
	reported bool
}

// selectUnit returns a unit with a free slot, or nil. Where times are predicted, it is selected by them.
//
// The loads of other entries are as old as their heartbeats. If every entry chose the unit that seems least loaded, all
// requests of one heartbeat interval would go to it. Instead the requests that are expected in an interval are distributed
// over the units so that the loads become equal, and the unit is drawn with probabilities in proportion.
func (dis *Dispatcher) selectUnit(poo *pool, req Request) *unitState {
	if poo.predicts() {
		return dis.selectFastest(poo, req)
	}
	list := dis.candidates(poo, req)
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(one, two candidate) int { return cmp.Compare(one.cost, two.cost) })
	filled, level := equalize(list, poo.unseen(dis.remoteAge())*poo.shareOfZone(dis.opt.Zone))
	return dis.draw(filled, level)
}

// draw returns one of the units that reach a level of cost, with probabilities in proportion to what each lacks.
func (dis *Dispatcher) draw(filled []candidate, level float64) *unitState {
	left := dis.opt.Random() * (level*float64(len(filled)) - sumOfCosts(filled))
	for _, can := range filled {
		if left -= level - can.cost; left < 0 {
			return can.sta
		}
	}
	return filled[0].sta
}

// candidates returns the units that can take the request. A unit of another zone is expected to get the requests of its own zone, too.
func (dis *Dispatcher) candidates(poo *pool, req Request) []candidate {
	now := dis.opt.Clock.Now()
	expected := poo.unseen(dis.remoteAge()) / float64(max(1, len(poo.units)))
	list := poo.candidates[:0]
	for _, sta := range poo.units {
		if !dis.usable(sta, req, now) {
			continue
		}
		can := candidate{sta: sta, cost: sta.score(dis.opt.Zone)*float64(max(1, sta.Slots)) + tieBreak*dis.opt.Random()}
		if sta.Zone != dis.opt.Zone {
			can.cost += expected
		}
		if _, limited := dis.opt.RateLimits.Limit(sta.Instance()); limited {
			can.cost -= permitBonus
		}
		list = append(list, can)
	}
	poo.candidates = list
	return list
}

// usable reports whether a unit has a free slot for the request, and nothing forbids to send it there now.
func (dis *Dispatcher) usable(sta *unitState, req Request, now time.Time) bool {
	return sta.hasCapacity(now) && !slices.Contains(req.Exclude, sta.ID) && !dis.lacksPermit(sta) &&
		!dis.pauses[sta.Instance()].After(now) && !dis.opt.Breaker.IsOpen(sta.ID)
}

// equalize distributes requests over units, sorted by cost, so that those that get any reach the same cost. It returns these units and their cost.
func equalize(list []candidate, requests float64) (filled []candidate, level float64) {
	sum := requests
	for num, can := range list {
		if num > 0 && can.cost >= level {
			return list[:num], level
		}
		sum += can.cost
		level = sum / float64(num+1)
	}
	return list, level
}

func sumOfCosts(list []candidate) float64 {
	sum := 0.0
	for _, can := range list {
		sum += can.cost
	}
	return sum
}

// unseen returns how many requests the other entries send to the pool within the age of their loads. By Little's law, requests arrive at a rate of those running divided by their mean duration.
func (poo *pool) unseen(age time.Duration) float64 {
	if poo.meanDuration <= 0 {
		return 0
	}
	remote := 0
	for _, sta := range poo.units {
		remote += sta.remote.Requests
	}
	return float64(remote) * min(1, age.Seconds()/poo.meanDuration.Seconds())
}

// shareOfZone returns the share of the pool's units that are in a zone, or of one zone of equal ones if it has none.
func (poo *pool) shareOfZone(zone string) float64 {
	zones, own := map[string]bool{}, 0
	for _, sta := range poo.units {
		zones[sta.Zone] = true
		if sta.Zone == zone {
			own++
		}
	}
	if own == 0 {
		return 1 / float64(len(zones)+1)
	}
	return float64(own) / float64(len(poo.units))
}

// recordDuration updates the mean duration of served requests.
func (poo *pool) recordDuration(took time.Duration) {
	if poo.meanDuration == 0 {
		poo.meanDuration = took
		return
	}
	poo.meanDuration += time.Duration(smoothingFactor * float64(took-poo.meanDuration))
}
