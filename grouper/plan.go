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
	// groupedShare is the part of the servers that groups are planned for at first; the others stand by, since most days lose a fifth of them.
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
	Taken   int
	Waiting int
}

// Picture is what a plan rests on.
type Picture struct {
	Service string
	Engine  router.Engine
	View    *registrar.View
	// Formations are all that were decided on and not given up.
	Formations []Formation
	// Bound are the lives that something is being done with.
	Bound map[registrar.Life]bool
	// Loads holds the load of each model.
	Loads map[string]Load
	// Early says that no request has come yet.
	Early bool
}

// Proposal is a replica group to form; the first member is the head.
type Proposal struct {
	Model   router.Model
	Members []registrar.Server
	// ReadyIn is how long the slowest member takes.
	ReadyIn time.Duration
}

// Staging has a server hold the weights of a model on its host.
type Staging struct {
	Server registrar.Server
	Model  string
}

// Plan is what is to be done now.
type Plan struct {
	Dissolve []Formation
	Form     []Proposal
	Stage    []Staging
}

// round is one making of a plan.
type round struct {
	pic    Picture
	free   []registrar.Server
	active map[string][]Formation
	out    Plan
}

// Make returns what is to be done now.
func Make(pic Picture) Plan {
	rnd := &round{pic: pic, active: map[string][]Formation{}}
	rnd.sort()
	wanted := rnd.wanted()
	for {
		mod, short := rnd.shortest(wanted)
		if !short || !rnd.form(mod) {
			break
		}
	}
	rnd.stage()
	return rnd.out
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
		switch frm.Check(rnd.pic.View) {
		case Whole:
			rnd.active[frm.Model] = append(rnd.active[frm.Model], frm)
		default:
			rnd.out.Dissolve = append(rnd.out.Dissolve, frm)
		}
	}
	for _, ser := range rnd.pic.View.Servers {
		if ser.Service == rnd.pic.Service && ser.Domain != "" && rnd.pic.View.Usable(ser) && !taken[ser.Life()] && !rnd.pic.Bound[ser.Life()] {
			rnd.free = append(rnd.free, ser)
		}
	}
	slices.SortFunc(rnd.free, func(one, two registrar.Server) int { return cmp.Compare(one.ID, two.ID) })
}

// wanted returns how many groups each model should have.
func (rnd *round) wanted() map[string]int {
	usable := 0
	for _, ser := range rnd.pic.View.Servers {
		if ser.Service == rnd.pic.Service && ser.Domain != "" && rnd.pic.View.Usable(ser) {
			usable++
		}
	}
	shares := 0.0
	for _, mod := range rnd.pic.Engine.Models {
		shares += mod.Share
	}
	out := map[string]int{}
	for _, mod := range rnd.pic.Engine.Models {
		share := mod.Share / shares
		if shares <= 0 {
			share = 1 / float64(len(rnd.pic.Engine.Models))
		}
		num := int(math.Round(float64(usable) * share * groupedShare / float64(mod.Size)))
		loa := rnd.pic.Loads[mod.Name]
		if loa.Taken+loa.Waiting > 0 && float64(loa.Taken+loa.Waiting) > crowded*float64(loa.Slots) {
			num = max(num, len(rnd.active[mod.Name])+1)
		}
		out[mod.Name] = max(1, num)
	}
	return out
}

// shortest returns the model that lacks the largest part of its groups.
func (rnd *round) shortest(wanted map[string]int) (router.Model, bool) {
	var best router.Model
	lack := 0.0
	for _, mod := range rnd.pic.Engine.Models {
		one := 1 - float64(len(rnd.active[mod.Name]))/float64(wanted[mod.Name])
		if one > lack {
			best, lack = mod, one
		}
	}
	return best, lack > 0
}

// choice is one way to form a group.
type choice struct {
	members []registrar.Server
	ready   time.Duration
	// zone and domain count the model's groups there, strands the free servers that are left over in the domain.
	zone    int
	domain  int
	strands int
}

// form proposes a group of the model where it is ready first; it reports false when no domain has enough free servers.
func (rnd *round) form(mod router.Model) bool {
	byDomain := map[string][]registrar.Server{}
	for _, ser := range rnd.free {
		byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
	}
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
	if best == nil {
		return false
	}
	rnd.take(mod, *best)
	return true
}

func (rnd *round) choose(mod router.Model, free []registrar.Server) choice {
	slices.SortStableFunc(free, func(one, two registrar.Server) int {
		return cmp.Or(
			cmp.Compare(rnd.readyIn(mod, one), rnd.readyIn(mod, two)),
			cmp.Compare(len(one.Staged), len(two.Staged)),
		)
	})
	out := choice{members: slices.Clone(free[:mod.Size]), strands: (len(free) - mod.Size) % mod.Size}
	out.ready = rnd.readyIn(mod, out.members[mod.Size-1])
	for _, frm := range rnd.active[mod.Name] {
		if ser, listed := rnd.pic.View.Servers[frm.Members[0].ID]; listed {
			if ser.Zone == free[0].Zone {
				out.zone++
			}
			if ser.Domain == free[0].Domain {
				out.domain++
			}
		}
	}
	return out
}

// before reports whether one way is better than another: ready first, then spread over zones and domains.
func (cho choice) before(oth choice) bool {
	return cmp.Or(
		cmp.Compare(cho.ready, oth.ready), cmp.Compare(cho.zone, oth.zone),
		cmp.Compare(cho.domain, oth.domain), cmp.Compare(cho.strands, oth.strands),
	) < 0
}

func (rnd *round) take(mod router.Model, cho choice) {
	lives := make([]registrar.Life, 0, len(cho.members))
	for _, ser := range cho.members {
		lives = append(lives, ser.Life())
	}
	rnd.free = slices.DeleteFunc(rnd.free, func(ser registrar.Server) bool { return slices.Contains(lives, ser.Life()) })
	rnd.active[mod.Name] = append(rnd.active[mod.Name], Formation{Model: mod.Name, Members: lives})
	rnd.out.Form = append(rnd.out.Form, Proposal{Model: mod, Members: cho.members, ReadyIn: cho.ready})
}

// readyIn is how long a server takes to have a model's weights in its accelerators.
func (rnd *round) readyIn(mod router.Model, ser registrar.Server) time.Duration {
	switch {
	case ser.Loaded == mod.Name:
		return rejoinIn
	case slices.Contains(ser.Staged, mod.Name):
		return mod.StagedIn
	case rnd.pic.Early:
		return time.Duration(float64(mod.LoadIn) * earlyShare)
	}
	return mod.LoadIn
}

// stage has each domain hold ready, on its free servers, what its groups may need.
func (rnd *round) stage() {
	byDomain := map[string][]registrar.Server{}
	for _, ser := range rnd.free {
		byDomain[ser.Domain] = append(byDomain[ser.Domain], ser)
	}
	for _, dom := range slices.Sorted(maps.Keys(byDomain)) {
		held := map[string]int{}
		var bare []registrar.Server
		for _, ser := range byDomain[dom] {
			if mod := rnd.holds(ser); mod != "" {
				held[mod]++
			} else {
				bare = append(bare, ser)
			}
		}
		for _, ser := range bare {
			mod := rnd.leastHeld(held)
			held[mod]++
			rnd.out.Stage = append(rnd.out.Stage, Staging{Server: ser, Model: mod})
		}
	}
}

func (rnd *round) holds(ser registrar.Server) string {
	for _, mod := range rnd.pic.Engine.Models {
		if ser.Loaded == mod.Name || slices.Contains(ser.Staged, mod.Name) {
			return mod.Name
		}
	}
	return ""
}

func (rnd *round) leastHeld(held map[string]int) string {
	best := rnd.pic.Engine.Models[0].Name
	for _, mod := range rnd.pic.Engine.Models {
		if held[mod.Name] < held[best] {
			best = mod.Name
		}
	}
	return best
}
