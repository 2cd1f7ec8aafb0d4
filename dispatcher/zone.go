package dispatcher

import (
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/spiller"
)

// NoUnitAtHome is the reason of requests that leave the zone because no unit there can take them.
const NoUnitAtHome spiller.Reason = "no_unit_at_home"

// zoneState is what a pool knows about the requests that leave the zone of this entry.
type zoneState struct {
	spi *spiller.Spiller
	// forced says that the last request found no unit at home.
	forced bool
	left   map[spiller.Reason]int64
}

// ZoneLoad says which share of a pool's requests leaves the zone of the entry and why, and how many have left it by reason.
type ZoneLoad struct {
	Share  float64
	Reason spiller.Reason
	Left   map[spiller.Reason]int64
}

// ZoneLoads returns the share of each pool that leaves the zone, by pool name; pools whose times aren't predicted are missing.
func (dis *Dispatcher) ZoneLoads() map[string]ZoneLoad {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	out := map[string]ZoneLoad{}
	for name, poo := range dis.pools {
		if poo.zones.spi == nil {
			continue
		}
		loa := ZoneLoad{Left: map[spiller.Reason]int64{}}
		loa.Share, loa.Reason = poo.zones.spi.Share()
		for reason, num := range poo.zones.left {
			loa.Left[reason] = num
		}
		out[name] = loa
	}
	return out
}

// filterZones returns the candidates of one availability zone, to which the request may go now. It returns all where the time to a first event isn't known for each of them, or where none is in the own zone.
func (dis *Dispatcher) filterZones(poo *pool, req Request, list []candidate) []candidate {
	if !hasPredictions(list) {
		return list
	}
	if poo.zones.spi == nil {
		poo.zones.spi, poo.zones.left = spiller.New(dis.opt.Clock), map[spiller.Reason]int64{}
	}
	que := dis.zoneQuestion(req, list)
	poo.zones.forced = que.Home == 0
	if poo.zones.forced {
		return list
	}
	zone := dis.opt.Zone
	// A request that is late already gains nothing that is worth the traffic between zones.
	if late := !req.Objective.IsZero() && que.Left == 0; !late {
		if other := poo.zones.spi.Choose(que, dis.opt.Random()); other != "" {
			zone = other
		}
	}
	return slices.DeleteFunc(list, func(can candidate) bool { return can.sta.Zone != zone })
}

// zoneQuestion sums up the candidates by zone; the time of a zone is the median of its units, the lower one of two.
func (dis *Dispatcher) zoneQuestion(req Request, list []candidate) spiller.Question {
	out := spiller.Question{LoadAge: dis.remoteAge()}
	if !req.Objective.IsZero() {
		out.Left = max(0, dis.opt.Clock.Until(req.Objective))
	}
	firsts, crossings := map[string][]time.Duration{}, map[string]time.Duration{}
	var zones []string
	for _, can := range list {
		zone := can.sta.Zone
		if firsts[zone] == nil {
			zones = append(zones, zone)
		}
		firsts[zone] = append(firsts[zone], can.first)
		crossings[zone] = max(crossings[zone], can.sta.Crossing)
	}
	for _, zone := range zones {
		times := firsts[zone]
		slices.Sort(times)
		median := times[(len(times)-1)/2]
		if zone == dis.opt.Zone {
			out.Home = median
			continue
		}
		out.Away = append(out.Away, spiller.Zone{Name: zone, First: median, Crossing: crossings[zone], Units: len(times)})
	}
	return out
}

// hasPredictions reports whether the time to the first event is known for all candidates.
func hasPredictions(list []candidate) bool {
	return len(list) > 0 && !slices.ContainsFunc(list, func(can candidate) bool { return can.first <= 0 })
}

// recordZone counts a request that leaves the zone.
func (dis *Dispatcher) recordZone(name string, sta *unitState) {
	poo := dis.pools[name]
	if poo == nil || poo.zones.spi == nil || sta.Zone == dis.opt.Zone {
		return
	}
	reason := spiller.Gain
	if poo.zones.forced {
		reason = NoUnitAtHome
	}
	poo.zones.left[reason]++
}
