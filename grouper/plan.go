package grouper

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// groupedShare is the part of the servers that is planned to serve at first; the others stand by, since most days lose a fifth of them.
	groupedShare = 0.8
	// crowded is the share of a model's places above which one more group is wanted.
	crowded = 0.75
	// rejoinIn is how long a server takes to join a group of the model that it served last.
	rejoinIn = 200 * time.Millisecond
	// earlyShare is the part of the usual time that loads take before the first request.
	earlyShare = 0.1
)

// Load says how busy a model is.
type Load struct {
	Slots   int
	InUse   int
	Waiting int
}

// Input is what a plan rests on.
type Input struct {
	Service string
	Engine  router.Engine
	View    *registrar.View
	// Formations are all that were decided on and not given up.
	Formations []Formation
	// Busy names the formations that are being built, opened or dissolved.
	Busy map[string]bool
	// Dissolving names the formations that are being dissolved.
	Dissolving map[string]bool
	// Staging holds the servers that load a model onto their host.
	Staging map[registrar.Life]string
	// Loads holds the load of each model.
	Loads map[string]Load
	// BeforeFirstRequest says that no request has come yet.
	BeforeFirstRequest bool
}

// Proposal is a replica group to form; the first member is the head.
type Proposal struct {
	Model   router.Model
	Members []registrar.Server
	// ReadyIn is how long the slowest member takes.
	ReadyIn time.Duration
	// Loads is how many members load from the weight store.
	Loads int
	// Standby says that the group is not to be opened yet.
	Standby bool
}

// Staging has a server hold the weights of a model on its host.
type Staging struct {
	Server registrar.Server
	Model  string
}

// Plan is what is to be done now.
type Plan struct {
	Dissolve []Formation
	Open     []Formation
	Form     []Proposal
	Stage    []Staging
}

// round is one making of a plan.
type round struct {
	pic     Input
	free    []registrar.Server
	active  map[string][]Formation
	standby map[string][]Formation
	stands  map[registrar.Life]Formation
	// waits says that servers which stood by are about to be free for what an earlier plan wants of them.
	waits bool
	// loading counts the loads from the weight store that are under way or proposed.
	loading int
	// kept says that the rest of the weight store is kept for a group that is wanted more.
	kept bool
	out  Plan
}

// NewPlan returns what is to be done now.
func NewPlan(pic Input) Plan {
	rnd := &round{
		pic: pic, active: map[string][]Formation{}, standby: map[string][]Formation{}, stands: map[registrar.Life]Formation{},
	}
	rnd.sort()
	rnd.loading = rnd.countLoading()
	wanted := rnd.wanted()
	given := map[string]bool{}
	for {
		mod, short := rnd.shortest(wanted, given)
		if !short {
			break
		}
		given[mod.Name] = !rnd.supply(mod)
	}
	if !rnd.waits {
		rnd.standBy()
	}
	rnd.stage()
	return rnd.out
}

// supply proposes one more group of a model, the soonest that can be had; it reports false when there is none, or when it has to wait for servers.
func (rnd *round) supply(mod router.Model) bool {
	if rnd.open(mod) || rnd.form(mod, false) {
		return true
	}
	return !rnd.convert(mod) && rnd.form(mod, true)
}

// sort tells formations that stand from those to dissolve, and finds the free servers.
func (rnd *round) sort() {
	taken := map[registrar.Life]bool{}
	for _, frm := range rnd.pic.Formations {
		if frm.Service != rnd.pic.Service {
			continue
		}
		for _, lif := range frm.Members {
			taken[lif] = true
		}
		rnd.sortOne(frm)
	}
	for _, ser := range rnd.usable() {
		if !taken[ser.Life()] {
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

func (rnd *round) sortOne(frm Formation) {
	vie := rnd.pic.View
	switch {
	case rnd.pic.Dissolving[frm.Name]:
		rnd.waits = rnd.waits || frm.Check(vie) == Healthy
	case frm.Check(vie) != Healthy:
		rnd.out.Dissolve = append(rnd.out.Dissolve, frm)
	case vie.ZoneOut(vie.Servers[frm.Members[0].ID].Zone):
		// It serves again when its availability zone is back.
	case frm.Standby && !frm.IsOpen(vie) && !rnd.pic.Busy[frm.Name]:
		rnd.standby[frm.Model] = append(rnd.standby[frm.Model], frm)
		for _, lif := range frm.Members {
			rnd.stands[lif] = frm
		}
	case frm.Standby && !frm.IsOpen(vie) && !frm.isReady(vie):
		// A standby group in the making counts for nothing yet.
	default:
		rnd.active[frm.Model] = append(rnd.active[frm.Model], frm)
	}
}

// usable returns the servers with an engine that may get work.
func (rnd *round) usable() []registrar.Server {
	var out []registrar.Server
	for _, ser := range rnd.pic.View.Servers {
		if ser.Service == rnd.pic.Service && ser.Domain != "" && rnd.pic.View.Usable(ser) {
			out = append(out, ser)
		}
	}
	return out
}

// wanted returns how many groups of each model should serve.
func (rnd *round) wanted() map[string]int {
	usable := float64(len(rnd.usable()))
	shares := 0.0
	for _, mod := range rnd.pic.Engine.Models {
		shares += mod.Share
	}
	out := map[string]int{}
	for _, mod := range rnd.pic.Engine.Models {
		share := 1 / float64(len(rnd.pic.Engine.Models))
		if shares > 0 {
			share = mod.Share / shares
		}
		num := int(math.Round(usable * share * groupedShare / float64(mod.Size)))
		loa := rnd.pic.Loads[mod.Name]
		if loa.InUse+loa.Waiting > 0 && float64(loa.InUse+loa.Waiting) > crowded*float64(loa.Slots) {
			num = max(num, len(rnd.active[mod.Name])+1)
		}
		out[mod.Name] = max(1, num)
	}
	return out
}

// shortest returns the model that lacks the largest part of its groups, but for those that were given up.
func (rnd *round) shortest(wanted map[string]int, given map[string]bool) (router.Model, bool) {
	var best router.Model
	lack := 0.0
	for _, mod := range rnd.pic.Engine.Models {
		one := 1 - float64(len(rnd.active[mod.Name]))/float64(wanted[mod.Name])
		if one > lack && !given[mod.Name] {
			best, lack = mod, one
		}
	}
	return best, lack > 0
}

// open has a standby group of the model serve, in the availability zone that has fewest; it reports false when there is none.
func (rnd *round) open(mod router.Model) bool {
	var best *Formation
	fewest := 0
	for _, frm := range rnd.standby[mod.Name] {
		if !frm.isReady(rnd.pic.View) {
			continue
		}
		if num := rnd.inZone(mod, rnd.zone(frm)); best == nil || num < fewest {
			best, fewest = &frm, num
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
	for _, lif := range frm.Members {
		delete(rnd.stands, lif)
	}
}

func (rnd *round) zone(frm Formation) string {
	return rnd.pic.View.Servers[frm.Members[0].ID].Zone
}

func (rnd *round) inZone(mod router.Model, zone string) int {
	num := 0
	for _, frm := range rnd.active[mod.Name] {
		if rnd.zone(frm) == zone {
			num++
		}
	}
	return num
}

// form proposes a group of the model where it is ready first, and where asked to one that needs loads from the weight store; it reports false when no domain has enough servers that are free or stand by.
func (rnd *round) form(mod router.Model, loads bool) bool {
	byDomain := rnd.idleByDomain()
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
	if best == nil || best.loads > 0 && !loads || !rnd.mayLoad(best.loads) {
		return false
	}
	rnd.take(mod, *best)
	return true
}

// choice is one way to form a group.
type choice struct {
	members []registrar.Server
	ready   time.Duration
	// loads counts the members that load from the weight store.
	loads int
	// zone and domain count the model's groups there, broken the servers that stand by and would be taken.
	zone   int
	domain int
	broken int
}

func (rnd *round) choose(mod router.Model, list []registrar.Server) choice {
	slices.SortStableFunc(list, func(one, two registrar.Server) int {
		return cmp.Or(
			cmp.Compare(rnd.readyIn(mod, one), rnd.readyIn(mod, two)),
			cmp.Compare(rnd.standsBy(one), rnd.standsBy(two)),
			cmp.Compare(one.Group.Name, two.Group.Name),
			cmp.Compare(one.ID, two.ID),
		)
	})
	out := choice{members: slices.Clone(list[:mod.Size]), zone: rnd.inZone(mod, list[0].Zone)}
	out.ready = rnd.readyIn(mod, out.members[mod.Size-1])
	for _, ser := range out.members {
		out.broken += rnd.standsBy(ser)
		if rnd.readyIn(mod, ser) > mod.StagedIn {
			out.loads++
		}
	}
	for _, frm := range rnd.active[mod.Name] {
		if rnd.pic.View.Servers[frm.Members[0].ID].Domain == list[0].Domain {
			out.domain++
		}
	}
	return out
}

func (rnd *round) standsBy(ser registrar.Server) int {
	if _, stands := rnd.stands[ser.Life()]; stands {
		return 1
	}
	return 0
}

// before reports whether one way is better than another: ready first, then spread over zones and domains.
func (cho choice) before(oth choice) bool {
	return cmp.Or(
		cmp.Compare(cho.ready, oth.ready), cmp.Compare(cho.loads, oth.loads), cmp.Compare(cho.zone, oth.zone),
		cmp.Compare(cho.domain, oth.domain), cmp.Compare(cho.broken, oth.broken),
	) < 0
}

// take proposes a choice, or first has the standby groups dissolved whose members it needs; these are free in a later round.
func (rnd *round) take(mod router.Model, cho choice) {
	lives := make([]registrar.Life, 0, len(cho.members))
	waits := false
	for _, ser := range cho.members {
		lives = append(lives, ser.Life())
		if frm, stands := rnd.stands[ser.Life()]; stands {
			waits = true
			rnd.out.Dissolve = append(rnd.out.Dissolve, frm)
			rnd.removeStandby(frm)
		}
	}
	rnd.free = slices.DeleteFunc(rnd.free, func(ser registrar.Server) bool { return slices.Contains(lives, ser.Life()) })
	rnd.active[mod.Name] = append(rnd.active[mod.Name], Formation{Model: mod.Name, Members: lives})
	if !waits {
		rnd.loading += cho.loads
		rnd.out.Form = append(rnd.out.Form, Proposal{Model: mod, Members: cho.members, ReadyIn: cho.ready, Loads: cho.loads})
	}
}

// readyIn is how long a server takes to have a model's weights in its accelerators.
func (rnd *round) readyIn(mod router.Model, ser registrar.Server) time.Duration {
	switch {
	case ser.Loaded == mod.Name:
		return rejoinIn
	case slices.Contains(ser.Staged, mod.Name) && rnd.pic.Staging[ser.Life()] == "":
		return mod.StagedIn
	case rnd.pic.BeforeFirstRequest:
		return time.Duration(float64(mod.LoadIn) * earlyShare)
	}
	return mod.LoadIn
}
