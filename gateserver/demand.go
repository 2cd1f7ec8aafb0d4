package gateserver

import (
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/heartbeater"
)

// demandStates is for how many times the validity of another entry's state its demand counts: a heartbeat that is late takes nothing off the sum.
const demandStates = 2

// ownDemand returns the demand of this entry for its heartbeats, one item for each pool.
func (gat *Server) ownDemand() []heartbeater.Demand {
	var out []heartbeater.Demand
	for poo, dem := range gat.frc.Own() {
		out = append(out, heartbeater.Demand{Pool: hash(gateway.PoolName(poo.Service, poo.Model)), Demand: dem})
	}
	return out
}

// onDemand takes the demand that an entry states.
func (gat *Server) onDemand(entry string, list []heartbeater.Demand) {
	demands := make(map[uint64]estimator.Demand, len(list))
	for _, one := range list {
		demands[one.Pool] = one.Demand
	}
	gat.frc.Put(entry, demands)
}

// entryZones returns the availability zones of the registered entries, by name.
func (gat *Server) entryZones() map[string]string {
	out := map[string]string{gat.set.Name: gat.set.Zone}
	for _, ent := range gat.adv.Others() {
		out[ent.Name] = ent.Zone
	}
	return out
}

// forecast returns the work that all entries are asked for of a model. It reports false until most live entries have stated theirs.
func (gat *Server) forecast(service, model string) (forecaster.Forecast, bool) {
	gat.onDemand(gat.set.Name, gat.ownDemand())
	known := gat.frc.Expire(demandStates * gat.peerStateTTL())
	if live := gat.adv.Live(); 2*known <= live {
		return forecaster.Forecast{}, false
	}
	return gat.frc.Sum(hash(gateway.PoolName(service, model)), gat.entryZones()), true
}
