package grouper_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// tokenEngine reads prompts in passes; the groups of its models leave 3 of the 27 servers of a domain over.
var tokenEngine = router.Engine{
	Slots: 48, StepsPerPass: 5, Step: 6450 * time.Microsecond, StepPerRequest: 97 * time.Microsecond, PromptTokensPerSecond: 56100, ChunkTokens: 2048, FullSpeedLoads: 8,
	Models: []router.Model{
		{Name: "large", Size: 12, Share: 0.5, TimeFactor: 1, StoreLoadTime: 16 * time.Second, HostLoadTime: 1600 * time.Millisecond},
		{Name: "small", Size: 6, Share: 0.5, TimeFactor: 0.6, StoreLoadTime: 12 * time.Second, HostLoadTime: 1100 * time.Millisecond},
	},
}

// meanDemand is the mean work that callers ask of each model.
var meanDemand = map[string]estimator.Demand{
	"large": {Requests: 66, PromptTokens: 98000, AnswerTokens: 6700},
	"small": {Requests: 252, PromptTokens: 180000, AnswerTokens: 37800},
}

const (
	// closeTime is how long a closed group finishes its requests, and reportInterval how often entries state their demand.
	closeTime      = time.Second
	reportInterval = 200 * time.Millisecond
	// inTimeUtilization is the utilization of a group at which requests are served in time.
	inTimeUtilization = 0.8
)

// demandAt says by which factor the callers of a zone ask more of a model than its mean, at a time.
type demandAt func(zone int, model string, at time.Duration) float64

// scene is a fleet of three zones of two domains each, with a planner that runs every 100 ms. The former planner knows slots in use only.
type scene struct {
	*fixture
	clk    *clockwork.FakeClock
	frc    *forecaster.Forecaster
	demand demandAt
	former bool
	at     time.Duration
	due    []pending
	// blindUntil is until when a new leader knows of no demand.
	blindUntil time.Duration
	dissolved  int
	// asked and served are the work by model in seconds of a group, served what was in time.
	asked  map[string]float64
	served map[string]float64
}

// pending is an operation that ends later.
type pending struct {
	at   time.Duration
	done func()
}

func newScene(former bool, demand demandAt) *scene {
	sce := &scene{fixture: newFixture(), clk: clockwork.NewFakeClock(), demand: demand, former: former, asked: map[string]float64{}, served: map[string]float64{}}
	sce.frc = forecaster.New(sce.clk)
	sce.inp.Engine = tokenEngine
	if former {
		// The former planner is that of an engine that does not state how fast it reads.
		sce.inp.Engine.PromptTokensPerSecond = 0
	}
	sce.inp.Busy, sce.inp.Dissolving, sce.inp.Ended = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for dom := range 6 {
		for num := range 27 {
			sce.addServer(fmt.Sprintf("e%d-%02d", dom, num), fmt.Sprint("d", dom), func(ser *registrar.Server) { ser.Zone = fmt.Sprint("z", dom/2) })
		}
	}
	sce.start()
	return sce
}

func (sce *scene) zoneDemand(zone int, model string) estimator.Demand {
	factor := sce.demand(zone, model, sce.at) / 3
	dem := meanDemand[model]
	return estimator.Demand{Requests: factor * dem.Requests, PromptTokens: factor * dem.PromptTokens, AnswerTokens: factor * dem.AnswerTokens}
}

// needed returns how many groups of a model serve the present demand at a utilization.
func (sce *scene) needed(mod router.Model, utilization float64) float64 {
	est, err := estimator.New(tokenEngine, mod)
	Expect(err).NotTo(HaveOccurred())
	sum := estimator.Demand{}
	for zone := range 3 {
		sum = sum.Plus(sce.zoneDemand(zone, mod.Name))
	}
	return est.GroupsNeeded(sum, utilization)
}

// observe gives the planner the demand that entries state, and the slots that it takes.
func (sce *scene) observe() {
	if sce.at%reportInterval == 0 {
		for zone := range 3 {
			demands := map[uint64]estimator.Demand{}
			for num, mod := range tokenEngine.Models {
				demands[uint64(num)] = sce.zoneDemand(zone, mod.Name)
			}
			sce.frc.Put(fmt.Sprint("entry", zone), demands)
		}
	}
	zones := map[string]string{"entry0": "z0", "entry1": "z1", "entry2": "z2"}
	sce.inp.Forecasts, sce.inp.Loads = map[string]forecaster.Forecast{}, map[string]grouper.Load{}
	for num, mod := range tokenEngine.Models {
		if !sce.former && sce.at >= sce.blindUntil {
			sce.inp.Forecasts[mod.Name] = sce.frc.Sum(uint64(num), zones)
		}
		slots := tokenEngine.Slots * sce.openGroups(mod.Name)
		use := int(float64(tokenEngine.Slots) * sce.needed(mod, 1))
		sce.inp.Loads[mod.Name] = grouper.Load{Slots: slots, InUse: min(use, slots), Waiting: max(0, use-slots)}
	}
}

// run plays a time.
func (sce *scene) run(last time.Duration) {
	for end := sce.at + last; sce.at < end; sce.at += tick {
		sce.clk.Advance(tick)
		sce.due = slices.DeleteFunc(sce.due, func(one pending) bool {
			if one.at > sce.at {
				return false
			}
			one.done()
			return true
		})
		sce.observe()
		sce.carryOutLater(sce.plan())
		for _, mod := range tokenEngine.Models {
			need := sce.needed(mod, inTimeUtilization)
			sce.asked[mod.Name] += need * tick.Seconds()
			sce.served[mod.Name] += min(need, float64(sce.servingGroups(mod.Name))) * tick.Seconds()
		}
	}
}

// servingGroups returns how many groups of a model are open in zones that are not taken out.
func (sce *scene) servingGroups(model string) int {
	num, vie := 0, sce.reg.View()
	for _, frm := range sce.frms {
		if frm.Model == model && frm.IsOpen(vie) && !vie.ZoneOut(vie.Servers[frm.Members[0].ID].Zone) {
			num++
		}
	}
	return num
}

// share returns the share of the work that is served in time, weighted by servers.
func (sce *scene) share() float64 {
	served, asked := 0.0, 0.0
	for _, mod := range tokenEngine.Models {
		served += float64(mod.Size) * sce.served[mod.Name]
		asked += float64(mod.Size) * sce.asked[mod.Name]
	}
	return served / asked
}

func (sce *scene) later(dur time.Duration, done func()) {
	sce.due = append(sce.due, pending{at: sce.at + dur, done: done})
}

// carryOutLater starts the operations of a plan, which take as long as those of a fleet do.
func (sce *scene) carryOutLater(plan grouper.Plan) {
	sce.retire(grouper.Plan{Retire: plan.Retire})
	for _, frm := range plan.Dissolve {
		sce.dissolved++
		sce.inp.Dissolving[frm.Name] = true
		sce.setHead(frm, registrar.Draining)
		sce.later(closeTime, func() {
			sce.removeGroup(frm.Name)
			delete(sce.inp.Dissolving, frm.Name)
		})
	}
	for _, frm := range plan.Open {
		sce.setHead(frm, registrar.Open)
	}
	for _, pro := range plan.Form {
		sce.join(pro)
	}
}

// join has the members of a proposed group join it, and opens it once they are ready.
func (sce *scene) join(pro grouper.Proposal) {
	frm := grouper.Formation{Name: fmt.Sprint("f", sce.formed), Epoch: int64(1000 + sce.formed), Service: "s", Model: pro.Model.Name, Standby: pro.Standby}
	sce.formed++
	for rank, ser := range pro.Members {
		frm.Members = append(frm.Members, ser.Instance())
		ser.Group = registrar.Membership{Name: frm.Name, Epoch: frm.Epoch, Rank: rank, State: registrar.Joining}
		sce.reg.Put(ser)
	}
	sce.frms = append(sce.frms, frm)
	sce.inp.Busy[frm.Name] = true
	sce.later(pro.ReadyIn, func() {
		delete(sce.inp.Busy, frm.Name)
		for rank, ins := range frm.Members {
			ser, listed := sce.reg.View().Servers[ins.ID]
			if !listed || ser.Group.Name != frm.Name {
				continue
			}
			if ser.Loaded != "" && ser.Loaded != frm.Model {
				ser.Staged = []string{ser.Loaded}
			}
			ser.Loaded, ser.Group.State = frm.Model, registrar.Ready
			if rank == 0 && !frm.Standby {
				ser.Group.State = registrar.Open
			}
			sce.reg.Put(ser)
		}
	})
}

// losePart removes the first member of every second group of a zone for good.
func (sce *scene) losePart(zone string) {
	num := 0
	for _, frm := range slices.Clone(sce.frms) {
		if len(frm.Members) < 6 || sce.reg.View().Servers[frm.Members[0].ID].Zone != zone {
			continue
		}
		if num++; num%2 == 0 {
			sce.loseServer(frm.Members[0], frm.Name)
			sce.inp.Lost++
		}
	}
}

// wave is a demand that swings by a share in 15 s, with the zones out of step by a tenth of that.
func wave(swing float64) demandAt {
	return func(zone int, _ string, at time.Duration) float64 {
		return 1 + swing*math.Sin(2*math.Pi*(at.Seconds()/15+0.1*float64(zone)))
	}
}

var _ = Describe("a plan for the work that callers ask for", func() {
	const last = 45 * time.Second

	It("starts with the shares of the configuration, and leaves no server out that the demand needs", func() {
		sce := newScene(false, func(int, string, time.Duration) float64 { return 1.6 })
		Expect(sce.openGroups("large")).To(Equal(5))
		Expect(sce.openGroups("small")).To(Equal(11))
		sce.run(3 * time.Second)
		Expect(12*sce.openGroups("large") + 6*sce.openGroups("small")).To(Equal(144))
	})

	// Guards against servers that stand by for later losses while callers wait for those that serve.
	It("keeps as many servers on standby as were lost lately, but none while the demand needs all", func() {
		for _, cas := range []struct {
			factor  float64
			standby int
		}{{0.4, 36 - 18}, {1.6, 0}} {
			sce := newScene(false, func(int, string, time.Duration) float64 { return cas.factor })
			sce.observe()
			sce.inp.Lost = 36
			sum := 0
			for _, sta := range sce.plan().Models {
				sum += sta.Target * tokenEngine.Models[slices.IndexFunc(tokenEngine.Models, func(mod router.Model) bool { return mod.Name == sta.Model })].Size
			}
			Expect(144-sum).To(Equal(cas.standby), "factor %v", cas.factor)
		}
	})

	for _, cas := range []struct {
		name string
		// demand returns the load for a seed.
		demand func(rng *rand.Rand) demandAt
		// during happens after the first third, later after the second.
		during func(sce *scene)
		later  func(sce *scene)
		// conversions is the largest number of groups that may be dissolved.
		conversions int
	}{
		{"waves of half the demand in 15 s, zones out of step", func(*rand.Rand) demandAt { return wave(0.5) }, nil, nil, 6},
		{"the same waves with bursts of one model by three fifths for 3 s", func(rng *rand.Rand) demandAt {
			bursts := []time.Duration{5 * time.Second, 18 * time.Second, 32 * time.Second}
			models := []string{"large", "small"}
			first := rng.IntN(2)
			return func(zone int, model string, at time.Duration) float64 {
				out := wave(0.5)(zone, model, at)
				for num, start := range bursts {
					if at >= start && at < start+3*time.Second && model == models[(first+num)%2] {
						out *= 1.6
					}
				}
				return out
			}
		}, nil, nil, 12},
		{"a zone that loses half of its groups under a third more than the mean demand", func(*rand.Rand) demandAt {
			return func(int, string, time.Duration) float64 { return 1.3 }
		}, func(sce *scene) { sce.losePart("z1") }, nil, 12},
		{"a zone taken out and back while the others are full", func(*rand.Rand) demandAt {
			return func(int, string, time.Duration) float64 { return 1.2 }
		}, func(sce *scene) { sce.reg.SetZonesOut(map[string]bool{"z0": true}) }, func(sce *scene) { sce.reg.SetZonesOut(nil) }, 12},
		{"a demand that moves from the small model to the large one while the leader changes", func(*rand.Rand) demandAt {
			return func(_ int, model string, at time.Duration) float64 {
				switch {
				case at < last/3:
					return 1
				case model == "large":
					return 1.7
				}
				return 0.5
			}
		}, func(sce *scene) {
			if sce.former {
				return
			}
			for range 100 {
				sce.run(tick)
				if len(sce.inp.Dissolving) > 0 {
					break
				}
			}
			Expect(sce.inp.Dissolving).NotTo(BeEmpty())
			// The next leader knows neither what is under way nor the demand.
			sce.inp.Busy, sce.inp.Dissolving, sce.inp.Lost, sce.blindUntil = map[string]bool{}, map[string]bool{}, 0, sce.at+time.Second
		}, nil, 12},
	} {
		It("serves at least as much in time as by slots in use: "+cas.name, func() {
			for seed := range uint64(3) {
				var shares []float64
				for _, former := range []bool{true, false} {
					sce := newScene(former, cas.demand(rand.New(rand.NewPCG(seed, 23))))
					sce.run(last / 3)
					if cas.during != nil {
						cas.during(sce)
					}
					sce.run(2*last/3 - sce.at)
					if cas.later != nil {
						cas.later(sce)
					}
					sce.run(last - sce.at)
					shares = append(shares, sce.share())
					if !former {
						Expect(sce.dissolved).To(BeNumerically("<=", cas.conversions), "seed %d", seed)
					}
					GinkgoWriter.Printf("former %t seed %d: served %.3f of the work asked for in time (%v of %v), %d groups dissolved, %d large, %d small\n", former, seed, sce.share(), sce.served, sce.asked, sce.dissolved, sce.openGroups("large"), sce.openGroups("small"))
				}
				Expect(shares[1]).To(BeNumerically(">=", shares[0]), "seed %d", seed)
			}
		})
	}
})
