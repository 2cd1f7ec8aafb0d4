package gateserver

import (
	"maps"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/heartbeater"
)

const (
	// collectIntervals is from how many times the minimum on the interval between heartbeats is so long that entries collect loads for the others.
	collectIntervals = 2
	// totalsAge is how old collected loads are at most: one interval on the way to the collector, one on the way back.
	totalsAge = 2 * heartbeater.MinInterval
	// totalsTTL is how long collected loads are used before those in the heartbeats of all entries are.
	totalsTTL = 5 * heartbeater.MinInterval
	// silentAfter is after how long without a heartbeat a collector counts an entry as silent.
	silentAfter = 15 * heartbeater.MinInterval
	// maxSilentEntries bounds the silent entries in a datagram.
	maxSilentEntries = 60
)

// collectors returns the entries that collect the loads of all others and send each the totals. In small clusters there are none, since heartbeats carry loads soon enough.
func (gat *Server) collectors() []string {
	if gat.heartbeatInterval() < collectIntervals*heartbeater.MinInterval {
		return nil
	}
	return gat.nom.First()
}

func (gat *Server) isCollector() bool {
	return slices.Contains(gat.collectors(), gat.set.Name)
}

// collectorPeers returns those of the peers that collect loads, and the leader, which decides by what the others suspect.
func (gat *Server) collectorPeers(peers []heartbeater.Peer) []heartbeater.Peer {
	names := gat.collectors()
	if len(names) == 0 {
		return nil
	}
	names = append(slices.Clone(names), gat.otherLeaderName())
	var out []heartbeater.Peer
	for _, pee := range peers {
		if slices.Contains(names, pee.Name) {
			out = append(out, pee)
		}
	}
	return out
}

// totalsFor returns the totals for the peers that this entry collects loads for: each collector serves an equal part of them.
func (gat *Server) totalsFor(peers []heartbeater.Peer) map[heartbeater.Peer]heartbeater.Totals {
	names := gat.collectors()
	own := slices.Index(names, gat.set.Name)
	if own < 0 {
		return nil
	}
	all := map[uint32]estimator.Work{}
	for unit, wor := range gat.dis.ReportedTotals() {
		all[uint32(hash(unit))] = wor
	}
	silent := gat.silentPeers()
	limits := gat.sha.Limits()
	seq := gat.totalsSeq.Add(1)
	out := map[heartbeater.Peer]heartbeater.Totals{}
	for _, pee := range peers {
		if slices.Contains(names, pee.Name) || hash(pee.Name)%uint64(len(names)) != uint64(own) {
			continue
		}
		tot := heartbeater.Totals{Name: gat.set.Name, Incarnation: gat.self.Incarnation, Seq: seq, Silent: silent, Limits: limits, RequestsOnly: !gat.exchangesWork(pee.Name)}
		tot.Work = without(all, gat.dis.RemoteLoad(pee.Name))
		tot.Running = requestsOf(tot.Work)
		out[pee] = tot
	}
	return out
}

// without returns the totals less the work of one entry.
func without(all map[uint32]estimator.Work, own map[string]estimator.Work) map[uint32]estimator.Work {
	if len(own) == 0 {
		return all
	}
	out := maps.Clone(all)
	for unit, wor := range own {
		key := uint32(hash(unit))
		if out[key] = out[key].Minus(wor); out[key].Requests == 0 {
			delete(out, key)
		}
	}
	return out
}

func requestsOf(all map[uint32]estimator.Work) map[uint32]int {
	out := make(map[uint32]int, len(all))
	for key, wor := range all {
		out[key] = wor.Requests
	}
	return out
}

// onTotals uses the load that a collector has summed up. A collector itself knows the load of each entry as soon.
func (gat *Server) onTotals(tot heartbeater.Totals) {
	if gat.isCollector() {
		return
	}
	gat.noteSilent(tot.Silent)
	if !tot.RequestsOnly {
		gat.sha.SetLimits(tot.Limits, gat.clk.Now().Add(totalsTTL))
	}
	byHash := gat.units.Load().unitByShortHash
	running := make(map[string]estimator.Work, len(tot.Running))
	for key, num := range tot.Running {
		unit, known := byHash[key]
		if !known {
			continue
		}
		wor, sent := tot.Work[key]
		if !sent {
			wor = gat.totalWork[unit]
		}
		wor.Requests = num
		running[unit] = wor
	}
	gat.totalWork = running
	gat.dis.SetRemoteTotals(running, totalsAge, gat.clk.Now().Add(totalsTTL))
}

// noteExchange records what a heartbeat says about work in tokens, the use of workspaces and demand.
func (gat *Server) noteExchange(bea heartbeater.Heartbeat) {
	gat.workPeers.Store(bea.Name, bea.ExchangesWork)
	gat.sha.SetRemote(bea.Name, bea.Uses)
	gat.onDemand(bea.Name, bea.Demand)
}

// exchangesWork reports whether an entry reads totals with work in tokens.
func (gat *Server) exchangesWork(name string) bool {
	does, known := gat.workPeers.Load(name)
	return known && does.(bool)
}

// silentEntries is a collector's list of silent entries, by the lower half of the hashes of their names, and until when it applies.
type silentEntries struct {
	names map[uint32]bool
	until time.Time
}

// silentPeers returns the entries from which this collector has heard nothing for a while. Each entry sends it a heartbeat every 100 ms, so it notices sooner than the others.
func (gat *Server) silentPeers() []uint32 {
	if gat.clk.Since(gat.collectingSince()) < silentAfter {
		return nil
	}
	var out []uint32
	for _, ent := range gat.adv.Others() {
		if !gat.hea.HeardWithin(ent.Name, silentAfter) && len(out) < maxSilentEntries {
			out = append(out, uint32(hash(ent.Name)))
		}
	}
	return out
}

// collectingSince returns since when this entry has been a collector without a break.
func (gat *Server) collectingSince() time.Time {
	now := gat.clk.Now()
	last := gat.lastCollected.Swap(&now)
	if last == nil || now.Sub(*last) > totalsTTL {
		gat.collectsSince.Store(&now)
	}
	return *gat.collectsSince.Load()
}

func (gat *Server) noteSilent(list []uint32) {
	sil := &silentEntries{names: map[uint32]bool{}, until: gat.clk.Now().Add(totalsTTL)}
	for _, name := range list {
		sil.names[name] = true
	}
	gat.silent.Store(sil)
}

// saidSilent reports whether a collector says that an entry is silent.
func (gat *Server) saidSilent(name string) bool {
	sil := gat.silent.Load()
	return sil != nil && sil.names[uint32(hash(name))] && gat.clk.Now().Before(sil.until)
}

// heartbeatRate returns how often this entry sends heartbeats to all others: readers often, and the others seldom while a collector tells everybody what matters sooner.
func (gat *Server) heartbeatRate() heartbeater.Rate {
	switch {
	case gat.readsStore():
		return heartbeater.Frequent
	case gat.dis.HasTotals():
		return heartbeater.Seldom
	}
	return heartbeater.Normal
}

// loadAge returns how old the loads in heartbeats are at most.
func (gat *Server) loadAge() time.Duration {
	if gat.isCollector() {
		return heartbeater.MinInterval
	}
	return gat.heartbeatInterval()
}
