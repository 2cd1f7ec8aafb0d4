package gateserver

import (
	"math"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
)

// shareLogStep is the change of a share from which it is logged.
const shareLogStep = 0.1

// causeRequests is the cause of traffic between availability zones for requests to backend servers; that of entries with each other isn't counted.
const causeRequests = "requests"

// isFar reports whether the backend server at an address is in another availability zone.
func (gat *Server) isFar(address string) bool {
	zone := gat.units.Load().zoneByAddress[address]
	return zone != "" && zone != gat.set.Zone
}

// zoneReport passes what leaves the availability zone to the metrics and the log.
type zoneReport struct {
	gat *Server
	// left holds the counts that were reported and the shares that were logged, by pool.
	left  map[string]dispatcher.ZoneLoad
	bytes int64
}

func (zon *zoneReport) report() {
	sum := zon.gat.farBytes.Load()
	zon.gat.mtr.RecordZoneBytes(causeRequests, sum-zon.bytes)
	zon.bytes = sum
	for pool, loa := range zon.gat.dis.ZoneLoads() {
		old := zon.left[pool]
		zon.gat.mtr.RecordZoneShare(pool, loa.Share)
		for reason, num := range loa.Left {
			zon.gat.mtr.RecordLeaving(pool, string(reason), num-old.Left[reason])
		}
		if loa.Reason == old.Reason && math.Abs(loa.Share-old.Share) < shareLogStep {
			loa.Share = old.Share
		} else {
			zon.gat.log.WithFields(logrus.Fields{"pool": pool, "share": loa.Share, "before": old.Share, "reason": string(loa.Reason)}).Info("share of requests that leaves the zone changed")
		}
		zon.left[pool] = loa
	}
}
