package grouper

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// servingShare is the share of the servers that is planned to serve at the start. The others stand by, since most days lose a fifth of the servers.
	servingShare = 0.8
	// scaleUpUtilization is the slot utilization of a model above which it gets more groups.
	scaleUpUtilization = 0.75
	// maxZoneShare is the largest share of a model's work that groups of one availability zone are placed for.
	maxZoneShare = 0.5
	// rejoinTime is how long a server takes to join a group of the model that it served last.
	rejoinTime = 200 * time.Millisecond
	// earlyLoadFactor is the ratio of the time that a load takes before the first request to the time that it takes later.
	earlyLoadFactor = 0.1
)

// Load is the load of a model in request slots.
type Load struct {
	Slots   int
	InUse   int
	Waiting int
}

// Input is the input of a plan.
type Input struct {
	Service string
	Engine  router.Engine
	View    *registrar.View
	// Era is the present era of the store.
	Era int64
	// Formations are all groups that were decided on and not yet retired.
	Formations []Formation
	// Busy holds the names of the formations that are being formed, opened or dissolved.
	Busy map[string]bool
	// Dissolving holds the names of the formations that are being dissolved.
	Dissolving map[string]bool
	// Ended holds the names of the groups whose end has been decided: servers may still be listed in them for a moment.
	Ended map[string]bool
	// Staging holds the servers that are loading weights onto their hosts, with the model.
	Staging map[registrar.Instance]string
	// Loads holds the load of each model by name.
	Loads map[string]Load
	// Forecasts holds the work that callers ask of each model by name; a model is missing while it is unknown.
	Forecasts map[string]forecaster.Forecast
	// Lost is the number of servers that were lost lately, which decays.
	Lost float64
	// BeforeFirstRequest means that no request has arrived yet.
	BeforeFirstRequest bool
}

// Proposal is a replica group to form. Its first member is the head.
type Proposal struct {
	Model   router.Model
	Members []registrar.Server
	// ReadyIn is how long the slowest member takes to be ready.
	ReadyIn time.Duration
	// Loads is the number of members that load from the weight store.
	Loads int
	// Standby means that the group is not opened once it is formed.
	Standby bool
}

// Staging tells a server to load the weights of a model onto its host.
type Staging struct {
	Server registrar.Server
	Model  string
}

// Plan lists the operations to start now.
type Plan struct {
	Dissolve []Formation
	// Retire holds the formations whose records end without any order to their members.
	Retire []Formation
	// Unknown holds the groups that accept requests though no decision on them is recorded.
	Unknown []registrar.Group
	Open    []Formation
	Form    []Proposal
	Stage   []Staging
	// Models holds the state of each model before these operations, in the order of the engine's models.
	Models []ModelState
}

// ModelState is the supply of one model in replica groups.
type ModelState struct {
	Model string
	// Groups is the number of groups that serve or are being formed to serve, Target the number that there should be, and
	// Needed the number that the present load needs.
	Groups int
	Target int
	Needed int
	Load   Load
	// Idle is the number of usable servers in no group whose accelerators hold the model.
	Idle int
	// Demand is the work that callers ask for at its peak, and Utilization that of the groups by it; both are zero while the demand is unknown.
	Demand      estimator.Demand
	Utilization float64
	// Zones holds the supply by availability zone, nil while the demand is unknown.
	Zones map[string]ZoneState
}

// ZoneState is the supply of one model in an availability zone: its groups there, and the share of the model's work that is asked for there.
type ZoneState struct {
	Groups int     `json:"groups"`
	Share  float64 `json:"share"`
}

// round is the state of one planning round.
type round struct {
	inp            Input
	free           []registrar.Server
	active         map[string][]Formation
	standby        map[string][]Formation
	standbyMembers map[registrar.Instance]Formation
	// sizing is nil while targets follow the slots in use.
	sizing *sizing
	// targets is the number of groups of each model that should serve.
	targets map[string]int
	// awaitsRelease holds the domains in which servers of dissolving groups are about to be released for an earlier plan, or for this one by reassign.
	awaitsRelease map[string]bool
	// loadingSpares holds the spares that load the weights of a model, by model.
	loadingSpares map[string][]registrar.Server
	// loading is the number of loads from the weight store that are under way or proposed.
	loading int
	out     Plan
}

// NewPlan returns the operations to start now.
func NewPlan(inp Input) Plan {
	rnd := &round{
		inp: inp, sizing: newSizing(inp), active: map[string][]Formation{}, standby: map[string][]Formation{}, standbyMembers: map[registrar.Instance]Formation{},
		awaitsRelease: map[string]bool{}, loadingSpares: map[string][]registrar.Server{},
	}
	rnd.classify()
	rnd.loading = rnd.countLoading()
	rnd.targets = rnd.targetCounts()
	rnd.out.Models = rnd.modelStates()
	skipped := map[string]bool{}
	for {
		mod, lacking := rnd.mostLacking(skipped)
		if !lacking {
			break
		}
		skipped[mod.Name] = !rnd.addGroup(mod)
	}
	if len(rnd.awaitsRelease) == 0 {
		rnd.formStandby()
	}
	rnd.stageWeights()
	return rnd.out
}

// addGroup proposes one more group of a model, whichever is ready first. It reports false when there is none, or when servers must be released first.
func (rnd *round) addGroup(mod router.Model) bool {
	if rnd.openStandby(mod) || rnd.formGroup(mod) {
		return true
	}
	return !rnd.reassign(mod) && rnd.loadMissing(mod)
}

// classify sorts the formations into active, standby and those to dissolve, and collects the free servers.
func (rnd *round) classify() {
	taken := map[registrar.Instance]bool{}
	for _, frm := range rnd.inp.Formations {
		if frm.Service != rnd.inp.Service {
			continue
		}
		for _, ins := range frm.Members {
			taken[ins] = true
		}
		rnd.classifyGroup(frm)
	}
	for _, grp := range rnd.unknownGroups() {
		rnd.out.Unknown = append(rnd.out.Unknown, grp)
		for _, ser := range grp.Members {
			taken[ser.Instance()] = true
		}
	}
	for _, ser := range rnd.usable() {
		if !taken[ser.Instance()] {
			rnd.free = append(rnd.free, ser)
		}
	}
	slices.SortFunc(rnd.free, func(one, two registrar.Server) int { return cmp.Compare(one.ID, two.ID) })
	for _, list := range []map[string][]Formation{rnd.active, rnd.standby} {
		for _, frms := range list {
			slices.SortFunc(frms, func(one, two Formation) int { return cmp.Compare(one.Epoch, two.Epoch) })
		}
	}
}

// unknownGroups returns the groups of the service that accept requests or finish them, and of which neither the formation nor the end is recorded. That happens when the store has lost decisions.
func (rnd *round) unknownGroups() []registrar.Group {
	decided := map[string]bool{}
	for _, frm := range rnd.inp.Formations {
		decided[frm.Name] = true
	}
	var out []registrar.Group
	for _, grp := range rnd.inp.View.Groups {
		head, listed := grp.Head()
		if !listed || grp.Service != rnd.inp.Service || decided[grp.Name] || rnd.inp.Ended[grp.Name] {
			continue
		}
		if head.Group.State == registrar.Open || head.Group.State == registrar.Draining {
			out = append(out, grp)
		}
	}
	return out
}

func (rnd *round) classifyGroup(frm Formation) {
	vie := rnd.inp.View
	switch {
	case frm.IsSuperseded(vie):
		rnd.out.Retire = append(rnd.out.Retire, frm)
	case rnd.inp.Dissolving[frm.Name]:
		if frm.Check(vie) == Healthy && !rnd.isSpare(frm) {
			rnd.awaitsRelease[vie.Servers[frm.Members[0].ID].Domain] = true
		}
	case frm.Check(vie) != Healthy:
		rnd.out.Dissolve = append(rnd.out.Dissolve, frm)
	case rnd.isSpare(frm):
		rnd.classifySpare(frm)
	case frm.Era < rnd.inp.Era && frm.isReady(vie) && !frm.IsOpen(vie):
		// The store may have lost its end: orders to leave it may still be on their way. They have no effect after a join.
		rnd.out.Dissolve = append(rnd.out.Dissolve, frm)
	case vie.ZoneOut(vie.Servers[frm.Members[0].ID].Zone):
		// It serves again when its availability zone is back.
	case frm.Standby && !frm.IsOpen(vie) && !rnd.inp.Busy[frm.Name]:
		rnd.standby[frm.Model] = append(rnd.standby[frm.Model], frm)
		for _, ins := range frm.Members {
			rnd.standbyMembers[ins] = frm
		}
	case frm.Standby && !frm.IsOpen(vie) && !frm.isReady(vie):
		// A standby group that is still being formed does not count yet.
	default:
		rnd.active[frm.Model] = append(rnd.active[frm.Model], frm)
	}
}

// usable returns the servers of the service that have an engine and may get work.
func (rnd *round) usable() []registrar.Server {
	var out []registrar.Server
	for _, ser := range rnd.inp.View.Servers {
		if ser.Service == rnd.inp.Service && ser.Domain != "" && rnd.inp.View.Usable(ser) {
			out = append(out, ser)
		}
	}
	return out
}

// targetCounts returns the number of groups of each model that should serve.
func (rnd *round) targetCounts() map[string]int {
	if rnd.sizing != nil {
		return rnd.sizing.targets(rnd.room())
	}
	usable := float64(len(rnd.usable()))
	loads := shareLoads(rnd.inp.Engine.Models)
	out := map[string]int{}
	for _, mod := range rnd.inp.Engine.Models {
		num := int(math.Round(usable * servingShare * loads[mod.Name]))
		out[mod.Name] = max(num, rnd.groupsAt(scaleUpUtilization, mod.Name))
	}
	return out
}

// room returns how many servers there are for groups, how many of them should stand by, and how many groups of each model there is room for. A group takes servers of one domain. As many servers stand by as were lost lately, at least those of which servingShare is the rest, and first those that fill no group.
func (rnd *round) room() (servers, standby int, limits map[string]int) {
	smallest := slices.MinFunc(rnd.inp.Engine.Models, func(one, two router.Model) int { return cmp.Compare(one.Size, two.Size) }).Size
	byDomain := map[string]int{}
	for _, ser := range rnd.usable() {
		byDomain[ser.Domain]++
	}
	limits = map[string]int{}
	leftOver := 0
	for _, num := range byDomain {
		servers += num - num%smallest
		leftOver += num % smallest
		for _, mod := range rnd.inp.Engine.Models {
			limits[mod.Name] += num / mod.Size
		}
	}
	standby = max(int(math.Round(rnd.inp.Lost)), int((1-servingShare)*float64(len(rnd.usable()))))
	return servers, max(0, standby-leftOver), limits
}

// modelStates returns the supply of each model.
func (rnd *round) modelStates() []ModelState {
	var out []ModelState
	for _, mod := range rnd.inp.Engine.Models {
		sta := ModelState{
			Model: mod.Name, Groups: len(rnd.active[mod.Name]), Target: rnd.targets[mod.Name], Needed: rnd.neededGroups(mod.Name), Load: rnd.inp.Loads[mod.Name],
		}
		for _, ser := range rnd.free {
			if ser.Loaded == mod.Name {
				sta.Idle++
			}
		}
		rnd.addDemand(&sta)
		out = append(out, sta)
	}
	return out
}

// addDemand adds the demand of a model to its state, if it is known.
func (rnd *round) addDemand(sta *ModelState) {
	if rnd.sizing == nil {
		return
	}
	sta.Demand = rnd.sizing.peaks[sta.Model]
	sta.Utilization = rnd.sizing.needed(sta.Model, maxUtilization) / float64(max(1, sta.Groups))
	sta.Zones = map[string]ZoneState{}
	for zone, share := range rnd.inp.Forecasts[sta.Model].ZoneShares {
		sta.Zones[zone] = ZoneState{Share: share}
	}
	for _, frm := range rnd.active[sta.Model] {
		zon := sta.Zones[rnd.zone(frm)]
		zon.Groups++
		sta.Zones[rnd.zone(frm)] = zon
	}
}

// mostLacking returns the model that lacks the largest share of its groups, apart from the skipped ones.
func (rnd *round) mostLacking(skipped map[string]bool) (router.Model, bool) {
	var best router.Model
	largest := 0.0
	for _, mod := range rnd.inp.Engine.Models {
		missing := 1 - float64(len(rnd.active[mod.Name]))/float64(rnd.targets[mod.Name])
		if missing > largest && !skipped[mod.Name] {
			best, largest = mod, missing
		}
	}
	return best, largest > 0
}

// openStandby opens a ready standby group of the model, in the availability zone that lacks most of its groups. It reports false when there is none.
func (rnd *round) openStandby(mod router.Model) bool {
	var best *Formation
	most := 0.0
	for _, frm := range rnd.standby[mod.Name] {
		if !frm.isReady(rnd.inp.View) {
			continue
		}
		if lack := rnd.lackInZone(mod, rnd.zone(frm)); best == nil || lack > most {
			best, most = &frm, lack
		}
	}
	if best == nil {
		return false
	}
	rnd.out.Open = append(rnd.out.Open, *best)
	rnd.removeStandby(*best)
	rnd.active[mod.Name] = append(rnd.active[mod.Name], *best)
	return true
}

func (rnd *round) removeStandby(frm Formation) {
	rnd.standby[frm.Model] = slices.DeleteFunc(rnd.standby[frm.Model], func(oth Formation) bool { return oth.Name == frm.Name })
	for _, ins := range frm.Members {
		delete(rnd.standbyMembers, ins)
	}
}

func (rnd *round) zone(frm Formation) string {
	return rnd.inp.View.Servers[frm.Members[0].ID].Zone
}

// lackInZone returns how many groups a model lacks in an availability zone for the work that is asked for there; without any it is less than zero by the number of its groups. A zone counts for at most maxZoneShare of the work, so that the others bear its loss.
func (rnd *round) lackInZone(mod router.Model, zone string) float64 {
	lack := float64(rnd.targets[mod.Name]) * min(maxZoneShare, rnd.inp.Forecasts[mod.Name].ZoneShares[zone])
	for _, frm := range rnd.active[mod.Name] {
		if rnd.zone(frm) == zone {
			lack--
		}
	}
	return lack
}

// formGroup proposes a group of the model in the domain where it is ready first. While servers are about to be released it uses free servers only. It reports false when no domain has enough free or standby servers, or when members would have to load from the weight store once requests arrive.
func (rnd *round) formGroup(mod router.Model) bool {
	byDomain := rnd.idleByDomain(mod, len(rnd.awaitsRelease) == 0)
	var best *choice
	for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
		if len(byDomain[dom]) < mod.Size {
			continue
		}
		one := rnd.choose(mod, byDomain[dom])
		if best == nil || one.before(*best) {
			best = &one
		}
	}
	if best == nil || best.loads > 0 && !rnd.inp.BeforeFirstRequest {
		return false
	}
	rnd.commit(mod, *best)
	return true
}

// choice is a candidate for a new group.
type choice struct {
	members []registrar.Server
	readyIn time.Duration
	// loads is the number of members that load from the weight store, loaded the number whose accelerators hold the model.
	loads  int
	loaded int
	// zoneLack is how many groups the model lacks in the same availability zone, domainGroups the number of its groups in the same domain.
	// displaced is the number of standby servers that it takes, plus the number of open groups that are dissolved for it.
	zoneLack     float64
	domainGroups int
	displaced    int
}

func (rnd *round) choose(mod router.Model, list []registrar.Server) choice {
	slices.SortStableFunc(list, func(one, two registrar.Server) int {
		return cmp.Or(
			cmp.Compare(rnd.readyIn(mod, one), rnd.readyIn(mod, two)),
			cmp.Compare(rnd.standbyCount(one), rnd.standbyCount(two)),
			cmp.Compare(one.Group.Name, two.Group.Name),
			cmp.Compare(one.ID, two.ID),
		)
	})
	out := choice{members: slices.Clone(list[:mod.Size]), zoneLack: rnd.lackInZone(mod, list[0].Zone)}
	out.readyIn = rnd.readyIn(mod, out.members[mod.Size-1])
	for _, ser := range out.members {
		out.displaced += rnd.standbyCount(ser)
		if ser.Loaded == mod.Name {
			out.loaded++
		}
		if rnd.readyIn(mod, ser) > mod.HostLoadTime && !rnd.isLoading(mod, ser) {
			out.loads++
		}
	}
	for _, frm := range rnd.active[mod.Name] {
		if rnd.inp.View.Servers[frm.Members[0].ID].Domain == list[0].Domain {
			out.domainGroups++
		}
	}
	return out
}

func (rnd *round) standbyCount(ser registrar.Server) int {
	if _, onStandby := rnd.standbyMembers[ser.Instance()]; onStandby {
		return 1
	}
	return 0
}

// before reports whether one candidate is better than another: ready sooner, then where more of its groups lack, then better spread over domains.
func (cho choice) before(oth choice) bool {
	return cmp.Or(
		cmp.Compare(cho.readyIn, oth.readyIn), cmp.Compare(cho.loads, oth.loads), cmp.Compare(oth.zoneLack, cho.zoneLack),
		cmp.Compare(cho.domainGroups, oth.domainGroups), cmp.Compare(cho.displaced, oth.displaced),
	) < 0
}

// commit proposes the candidate. If it needs members of standby groups, these groups are dissolved first and the servers are free in a later round.
func (rnd *round) commit(mod router.Model, cho choice) {
	instances := make([]registrar.Instance, 0, len(cho.members))
	needsStandby := false
	for _, ser := range cho.members {
		instances = append(instances, ser.Instance())
		if frm, onStandby := rnd.standbyMembers[ser.Instance()]; onStandby {
			needsStandby = true
			rnd.out.Dissolve = append(rnd.out.Dissolve, frm)
			rnd.removeStandby(frm)
		}
	}
	rnd.free = slices.DeleteFunc(rnd.free, func(ser registrar.Server) bool { return slices.Contains(instances, ser.Instance()) })
	rnd.active[mod.Name] = append(rnd.active[mod.Name], Formation{Model: mod.Name, Members: instances})
	if !needsStandby {
		rnd.loading += cho.loads
		rnd.out.Form = append(rnd.out.Form, Proposal{Model: mod, Members: cho.members, ReadyIn: cho.readyIn, Loads: cho.loads})
	}
}

// readyIn returns how long a server takes to have a model's weights in its accelerators.
func (rnd *round) readyIn(mod router.Model, ser registrar.Server) time.Duration {
	switch {
	case ser.Loaded == mod.Name:
		return rejoinTime
	case slices.Contains(ser.Staged, mod.Name) && rnd.inp.Staging[ser.Instance()] == "":
		return mod.HostLoadTime
	case rnd.isLoading(mod, ser):
		return mod.StoreLoadTime / 2
	case rnd.inp.BeforeFirstRequest:
		return time.Duration(float64(mod.StoreLoadTime) * earlyLoadFactor)
	}
	return mod.StoreLoadTime
}
