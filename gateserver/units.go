package gateserver

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// unitTable lists the units that requests can be sent to, and the backend servers that each unit depends on.
type unitTable struct {
	// zone is the availability zone of the entry.
	zone    string
	list    []dispatcher.Unit
	members map[string][]registrar.Server
	// unitByHash maps the unit hashes in heartbeats to unit IDs.
	unitByHash map[uint64]string
	// unitByShortHash maps the short hashes in totals to unit IDs.
	unitByShortHash map[uint32]string
	// serviceByAddress maps the addresses of backend servers to their services.
	serviceByAddress map[string]string
	// zoneByAddress maps the addresses of backend servers to their availability zones.
	zoneByAddress map[string]string
	// serverByHash maps the hashes of suspected instances in heartbeats to backend servers.
	serverByHash map[uint64]registrar.Server
	// badFigures is why the units of an engine have no estimator, empty if all have one.
	badFigures string
}

// updateUnits keeps the list of units up to date with the list of backend servers and the configuration.
func (gat *Server) updateUnits(ctx context.Context) {
	var tab *router.Table
	for ctx.Err() == nil {
		changed := gat.reg.Changed()
		tab = gat.tab.Load()
		if tab != nil {
			gat.setUnits(tab, gat.reg.View())
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (gat *Server) setUnits(tab *router.Table, vie *registrar.View) {
	old := gat.units.Load()
	out := &unitTable{zone: gat.set.Zone, members: map[string][]registrar.Server{}, unitByHash: map[uint64]string{}, unitByShortHash: map[uint32]string{}, serverByHash: make(map[uint64]registrar.Server, len(vie.Servers)), serviceByAddress: make(map[string]string, len(vie.Servers)), zoneByAddress: make(map[string]string, len(vie.Servers))}
	for _, grp := range vie.Groups {
		ser, known := tab.Services[grp.Service]
		if head, listed := grp.Head(); known && listed && ser.Engine != nil {
			out.addGroup(ser, vie, grp, head)
		}
	}
	for _, one := range vie.Servers {
		out.serverByHash[instanceHash(one.Instance())] = one
		out.serviceByAddress[one.Address], out.zoneByAddress[one.Address] = one.Service, one.Zone
		if ser, known := tab.Services[one.Service]; known && ser.Engine == nil {
			out.addPlain(ser, vie, one)
		}
	}
	for _, uni := range out.list {
		key := hash(uni.ID)
		out.unitByHash[key], out.unitByShortHash[uint32(key)] = uni.ID, uni.ID
	}
	gat.units.Store(out)
	gat.dis.SetUnits(out.list)
	if len(out.list) > 0 {
		gat.knowsUnits.Do(func() { close(gat.unitsKnown) })
	}
	gat.logUnits(old, out)
}

func (tab *unitTable) add(uni dispatcher.Unit, members []registrar.Server) {
	tab.list = append(tab.list, uni)
	tab.members[uni.ID] = members
}

func (tab *unitTable) addGroup(ser router.Service, vie *registrar.View, grp registrar.Group, head registrar.Server) {
	mod, known := modelOf(ser, grp.Model)
	if !known {
		return
	}
	uni := dispatcher.Unit{
		ID:   fmt.Sprintf("%s@%d/%s", head.ID, head.Started, grp.Name),
		Pool: gateway.PoolName(ser.Name, mod.Name), ServerID: head.ID, Started: head.Started, Address: head.Address, Zone: head.Zone, Crossing: 2 * ser.Engine.DelayBetween(tab.zone, head.Zone),
		Slots: ser.Engine.Slots, ColdUntil: head.ColdUntil, ColdPerSecond: ser.ColdRequestsPerSecond,
		TypicalEventInterval: usualPause(ser.Engine, mod), Readiness: dispatcher.Stopping,
	}
	est, err := estimatorOf(*ser.Engine, mod, grp)
	if err != nil {
		tab.badFigures = errors.Annotatef(err, "service %s", ser.Name).Error()
	}
	uni.Estimator = est
	var members []registrar.Server
	for _, mem := range grp.Members {
		members = append(members, mem)
	}
	if vie.Serves(grp, mod.Size) {
		uni.Readiness = dispatcher.Serving
	} else {
		uni.Readiness = readinessOfMembers(vie, grp, head)
	}
	tab.add(uni, members)
}

// estimatorOf returns the estimator of a group; it fails with errors.NotValid if the engine's figures do not suffice for predictions.
func estimatorOf(eng router.Engine, mod router.Model, grp registrar.Group) (*estimator.Estimator, error) {
	if spansDomains(grp) {
		mod.TimeFactor *= max(1, eng.FarFactor)
	}
	return estimator.New(eng, mod)
}

// spansDomains reports whether the members of a group are in several fabric domains.
func spansDomains(grp registrar.Group) bool {
	domain := ""
	for _, mem := range grp.Members {
		if domain == "" {
			domain = mem.Domain
		}
		if mem.Domain != "" && mem.Domain != domain {
			return true
		}
	}
	return false
}

// readinessOfMembers returns the readiness of a group that takes no requests. It is broken when its head reports so or nothing listens at the address of a member, unless that drains: it then stops listening while its group still has work. It is only suspected when a member does not answer: a sound server may be silent for a moment, or this entry may be too busy to read the answer.
func readinessOfMembers(vie *registrar.View, grp registrar.Group, head registrar.Server) dispatcher.Readiness {
	if head.Group.State == registrar.Broken {
		return dispatcher.Broken
	}
	out := dispatcher.Stopping
	for _, mem := range grp.Members {
		switch ins := mem.Instance(); {
		case vie.Down(ins) && !mem.Draining:
			return dispatcher.Broken
		case vie.Suspected(ins):
			out = dispatcher.Suspected
		}
	}
	return out
}

func (tab *unitTable) addPlain(ser router.Service, vie *registrar.View, one registrar.Server) {
	uni := dispatcher.Unit{
		ID: fmt.Sprintf("%s@%d", one.ID, one.Started), Pool: gateway.PoolName(ser.Name, ""),
		ServerID: one.ID, Started: one.Started, Address: one.Address, Zone: one.Zone, Slots: max(1, one.Slots),
		ColdUntil: one.ColdUntil, ColdPerSecond: ser.ColdRequestsPerSecond, Readiness: dispatcher.Stopping,
	}
	if vie.Usable(one) {
		uni.Readiness = dispatcher.Serving
	}
	tab.add(uni, []registrar.Server{one})
}

// usualPause returns the interval between two events of a stream on a group with half of its slots in use.
func usualPause(eng *router.Engine, mod router.Model) time.Duration {
	step := eng.Step + time.Duration(eng.Slots/2)*eng.StepPerRequest
	return time.Duration(float64(step) * float64(max(1, eng.StepsPerPass)) * mod.TimeFactor)
}

func modelOf(ser router.Service, name string) (router.Model, bool) {
	for _, mod := range ser.Engine.Models {
		if mod.Name == name {
			return mod, true
		}
	}
	return router.Model{}, false
}

// logUnits logs the units whose readiness has changed, and engine figures that do not suffice.
func (gat *Server) logUnits(old, now *unitTable) {
	if now.badFigures != "" && now.badFigures != old.badFigures {
		gat.log.WithField("why", now.badFigures).Warn("engine figures do not suffice for predictions, units are chosen by free slots")
	}
	was := map[string]dispatcher.Readiness{}
	for _, uni := range old.list {
		was[uni.ID] = uni.Readiness
	}
	for _, uni := range now.list {
		if before, known := was[uni.ID]; (!known && uni.Readiness == dispatcher.Stopping) || known && before == uni.Readiness {
			continue
		}
		gat.log.WithFields(logrus.Fields{"unit": uni.ID, "pool": uni.Pool, "readiness": uni.Readiness.String()}).Info("unit changed")
	}
}

// serviceAt returns the service of the backend server at an address, empty if there is none.
func (gat *Server) serviceAt(address string) string {
	return gat.units.Load().serviceByAddress[address]
}

// members returns the backend servers that a unit depends on.
func (gat *Server) members(unit string) []registrar.Server {
	return gat.units.Load().members[unit]
}

func (gat *Server) loads(service, model string) grouper.Load {
	loa := gat.dis.Loads()[gateway.PoolName(service, model)]
	return grouper.Load{Slots: loa.Slots, InUse: loa.InUse, Waiting: loa.Waiting}
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

func instanceHash(ins registrar.Instance) uint64 {
	return hash(ins.ID + "@" + strconv.FormatInt(ins.Started, 10))
}
