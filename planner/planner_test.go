package planner_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// scenario runs change on a catalog whose groups all serve, then checks the outcome after some seconds.
type scenario struct {
	name       string
	zones      int                        // number of availability zones
	domains    int                        // fabric domains per zone
	vms        int                        // VMs per domain
	models     map[string]cataloger.Model // must include the model "scene"
	change     func(sim *simulation)
	seconds    int  // duration after change
	forms      int  // groups formed after change
	serving    int  // serving groups at the end
	minServing int  // serving groups at any time after change
	quiesced   bool // whether any group was quiesced after change
	check      func(sim *simulation)
}

func firstServingGroup(sim *simulation) reducer.Group {
	return sim.vie.Groups[sim.servingGroups("scene")[0]]
}

func startLeaving(sim *simulation) {
	eng := sim.engines[firstServingGroup(sim).VMs[1]]
	eng.leaving, eng.leavesAt = true, sim.clk.Now().Add(90*time.Second)
}

var scenarios = []scenario{
	{
		name: "ignores a member that is dead for less than the grace period", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			eng := sim.engines[firstServingGroup(sim).VMs[2]]
			eng.alive, eng.changedAt = false, sim.clk.Now()
			sim.schedule(2*time.Second, func() { eng.alive = true })
		},
		seconds: 60, forms: 0, serving: 2,
	},
	{
		name: "preloads on an idle spare the weights that its domain may need", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(*simulation) {},
		check: func(sim *simulation) {
			for name, eng := range sim.engines {
				if sim.vie.GroupByVM[name] == "" {
					Expect(eng.model).To(Equal("scene"), name)
				}
			}
		},
		seconds: 30, forms: 0, serving: 2, minServing: 2,
	},
	{
		name: "replaces a lost member by a spare of the domain", zones: 2, domains: 1, vms: 5,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.engines[firstServingGroup(sim).VMs[2]].die(sim.clk.Now()) },
		seconds: 60, forms: 1, serving: 2, minServing: 1,
	},
	{
		name: "forms a group elsewhere when its domain has no spare", zones: 3, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.engines[firstServingGroup(sim).VMs[0]].die(sim.clk.Now()) },
		seconds: 60, forms: 1, serving: 2, minServing: 1,
	},
	{
		name: "lets a group wait with a reason when there is no capacity", zones: 2, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.engines[firstServingGroup(sim).VMs[0]].die(sim.clk.Now()) },
		seconds: 60, forms: 0, serving: 1, minServing: 1,
		check: func(sim *simulation) {
			Expect(strings.Join(reasons(sim), "\n")).To(ContainSubstring("no spare in domain"))
		},
	},
	{
		name: "repairs one of two broken groups of a domain with the VMs of the other", zones: 1, domains: 1, vms: 8,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			for _, name := range sim.servingGroups("scene") {
				sim.engines[sim.vie.Groups[name].VMs[1]].die(sim.clk.Now())
			}
		},
		seconds: 60, forms: 1, serving: 1,
	},
	{
		name: "forms the group of an unreachable domain elsewhere and removes the surplus when the domain returns", zones: 3, domains: 1, vms: 4,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			for _, name := range firstServingGroup(sim).VMs {
				eng := sim.engines[name]
				eng.die(sim.clk.Now())
				sim.schedule(30*time.Second, func() { eng.revive(sim.clk.Now()) })
			}
		},
		seconds: 120, forms: 1, serving: 2, minServing: 1, quiesced: true,
	},
	{
		name: "replaces a leaving member by a spare that preloaded the weights", zones: 2, domains: 1, vms: 5,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { startLeaving(sim) },
		seconds: 120, forms: 1, serving: 2, minServing: 1, quiesced: true,
	},
	{
		name: "gives a spare that preloads for a group to no other model", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40), "notes": model(0, 1, 10)},
		change: func(sim *simulation) {
			startLeaving(sim)
			sim.setModel("notes", func(mod *cataloger.Model) { mod.Replicas = 1 })
		},
		seconds: 120, forms: 2, serving: 2, minServing: 1, quiesced: true,
	},
	{
		name: "forms a whole new group before a leaving member without a spare stops its group", zones: 3, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { startLeaving(sim) },
		seconds: 120, forms: 1, serving: 2, minServing: 2, quiesced: true,
	},
	{
		name: "waits for running requests before a planned replacement", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			startLeaving(sim)
			eng := sim.engines[firstServingGroup(sim).VMs[0]]
			eng.running = 1
			sim.schedule(40*time.Second, func() { Expect(anyQuiesced(sim)).To(BeTrue()); eng.running = 0 })
		},
		seconds: 60, forms: 1, serving: 2, minServing: 1, quiesced: true,
	},
	{
		name: "replaces a straggler once", zones: 2, domains: 1, vms: 5,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.engines[firstServingGroup(sim).VMs[3]].stepTime = 200 * time.Millisecond },
		seconds: 300, forms: 1, serving: 2, minServing: 1, quiesced: true,
	},
	{
		name: "does not treat a member with intermittently long step times as a straggler", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			eng := sim.engines[firstServingGroup(sim).VMs[3]]
			for sec := range 200 {
				sim.schedule(time.Duration(sec)*time.Second, func() {
					eng.stepTime = 20 * time.Millisecond
					if sec%5 < 4 {
						eng.stepTime = 200 * time.Millisecond
					}
				})
			}
		},
		seconds: 200, forms: 0, serving: 2, minServing: 2,
	},
	{
		name: "avoids an engine whose loads fail", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			eng := sim.engines[firstServingGroup(sim).VMs[0]]
			eng.failsLoads, eng.state = true, planner.StateFailed
		},
		seconds: 180, forms: 1, serving: 2, minServing: 1,
	},
	{
		name: "avoids an engine whose load does not finish", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			eng := sim.engines[firstServingGroup(sim).VMs[0]]
			eng.hangsLoading, eng.state = true, planner.StateLoading
		},
		seconds: 180, forms: 1, serving: 2, minServing: 1,
	},
	{
		name: "replaces the groups of a zone that is out and returns to the wanted number when the zone is back", zones: 3, domains: 1, vms: 8,
		models: map[string]cataloger.Model{"scene": model(3, 4, 40)},
		change: func(sim *simulation) {
			sim.setZonesOut(firstServingGroup(sim).Zone)
			sim.schedule(60*time.Second, func() { sim.setZonesOut() })
		},
		seconds: 150, forms: 1, serving: 3, minServing: 2, quiesced: true,
	},
	{
		name: "rolls out a new version one group at a time", zones: 3, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.setModel("scene", func(mod *cataloger.Model) { mod.Version = "2" }) },
		seconds: 120, forms: 2, serving: 2, minServing: 2, quiesced: true,
		check: func(sim *simulation) { Expect(firstServingGroup(sim).Version).To(Equal("2")) },
	},
	{
		name: "rolls out a new version in place when there is no capacity for a new group", zones: 2, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.setModel("scene", func(mod *cataloger.Model) { mod.Version = "2" }) },
		seconds: 120, forms: 2, serving: 2, minServing: 1, quiesced: true,
	},
	{
		name: "quiesces surplus groups before it retires them when fewer replicas are wanted", zones: 3, domains: 1, vms: 4,
		models: map[string]cataloger.Model{"scene": model(3, 4, 40)},
		change: func(sim *simulation) {
			sim.setModel("scene", func(mod *cataloger.Model) { mod.Replicas = 1 })
			sim.onAction = func(act planner.Action) {
				Expect(act.Quiesce != nil && anyQuiesced(sim)).To(BeFalse(), "one group at a time")
			}
		},
		seconds: 120, forms: 0, serving: 1, minServing: 1, quiesced: true,
	},
	{
		name: "repeats the order to an engine that followed a delayed order with an old fence", zones: 2, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(sim *simulation) { sim.engines[firstServingGroup(sim).VMs[0]].fence = 1 },
		seconds: 20, forms: 0, serving: 2, minServing: 1,
	},
	{
		name: "unloads an engine outside any group that reports one", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(sim *simulation) {
			for _, eng := range sim.engines {
				if eng.group == "" {
					eng.group, eng.fence, eng.state = "old", 1, planner.StateReady
				}
			}
		},
		seconds: 20, forms: 0, serving: 2, minServing: 2,
		check: func(sim *simulation) {
			for _, eng := range sim.engines {
				Expect(eng.group).NotTo(Equal("old"))
			}
		},
	},
}

func anyQuiesced(sim *simulation) bool {
	for _, grp := range sim.vie.Groups {
		if grp.Quiesced {
			return true
		}
	}
	return false
}

func reasons(sim *simulation) []string {
	var out []string
	for subject, reason := range sim.mem.Reasons() {
		out = append(out, subject+": "+reason)
	}
	slices.Sort(out)
	return out
}

var _ = Describe("Plan", func() {
	It("proposes each group once while records are applied late", func() {
		sim := newSimulation(1, catalog(3, 1, 4, map[string]cataloger.Model{"scene": model(2, 4, 40)}))
		proposed := 0
		sim.logDelay = 6 * time.Second
		sim.onAction = func(act planner.Action) {
			if act.Form != nil {
				proposed++
			}
		}
		Expect(sim.tickUntil(60, func() bool { return len(sim.servingGroups("scene")) == 2 })).To(BeTrue())
		Expect(proposed).To(Equal(2))
	})

	It("forms the groups that need the least transfer for their service first, within the rate of the weight store", func() {
		cat := catalog(3, 3, 8, map[string]cataloger.Model{
			"heavy": model(1, 4, 200), "light": model(2, 2, 20), "first": model(1, 2, 40), "second": model(1, 2, 40),
		})
		cat.Inventory.Workspaces = map[string]cataloger.WorkspaceSpec{"hall": {Models: []string{"second"}}}
		cat.Rules.Workspaces = map[string]cataloger.WorkspaceRule{"hall": {Priority: 5}}
		sim := newSimulation(1, cat)
		sim.pla.Options.MaxQueueTime = time.Second
		var order []string
		sim.onAction = func(act planner.Action) {
			if act.Form != nil {
				order = append(order, act.Form.Model)
				Expect(sim.storeBusyUntil.Sub(sim.clk.Now())).To(BeNumerically("<=", time.Second))
			}
		}
		sim.tickUntil(60, func() bool { return len(sim.vie.Groups) == 5 })
		Expect(order).To(Equal([]string{"second", "first", "light", "heavy", "light"}))
	})

	It("splits the wanted groups over the regions by their capacity", func() {
		cat := catalog(3, 2, 4, map[string]cataloger.Model{"scene": model(4, 4, 40)})
		cat.Inventory.Zones["z3"] = cataloger.Zone{Region: "perak"}
		sim := newSimulation(1, cat)
		forms := func(region string) int {
			pla := planner.New(region)
			pla.Options.MaxQueueTime = time.Hour
			return len(pla.Plan(sim.clk.Now(), sim.vie, sim.observe(), planner.NewMemory()))
		}
		Expect([]int{forms(region), forms("perak")}).To(Equal([]int{3, 1}))
	})

	It("uses the VM of a former straggler again after AvoidDuration", func() {
		sim := newSimulation(1, catalog(3, 1, 4, map[string]cataloger.Model{"scene": model(2, 4, 40)}))
		Expect(sim.tickUntil(60, func() bool { return len(sim.servingGroups("scene")) == 2 })).To(BeTrue())
		slow := firstServingGroup(sim).VMs[3]
		sim.engines[slow].stepTime = 200 * time.Millisecond
		Expect(sim.tickUntil(60, func() bool { return sim.vie.GroupByVM[slow] == "" && len(sim.servingGroups("scene")) == 2 })).To(BeTrue())
		sim.engines[slow].stepTime = 20 * time.Millisecond
		sim.tickUntil(700, func() bool { return false })
		sim.engines[firstServingGroup(sim).VMs[0]].die(sim.clk.Now())
		Expect(sim.tickUntil(60, func() bool { return sim.vie.GroupByVM[slow] != "" && len(sim.servingGroups("scene")) == 2 })).To(BeTrue())
	})

	It("proposes nothing without observations", func() {
		sim := newSimulation(1, catalog(3, 1, 5, map[string]cataloger.Model{"scene": model(2, 4, 40)}))
		Expect(sim.tickUntil(60, func() bool { return len(sim.servingGroups("scene")) == 2 })).To(BeTrue())
		sim.setModel("scene", func(mod *cataloger.Model) { mod.Replicas = 3 })
		for range 30 {
			sim.clk.Advance(time.Second)
			Expect(sim.pla.Plan(sim.clk.Now(), sim.vie, planner.Observations{}, sim.mem)).To(BeEmpty())
		}
	})

	for _, sce := range scenarios {
		It(sce.name, func() {
			sim := newSimulation(1, catalog(sce.zones, sce.domains, sce.vms, sce.models))
			wanted := sce.models["scene"].Replicas
			Expect(sim.tickUntil(120, func() bool { return len(sim.servingGroups("scene")) == wanted })).To(BeTrue(), "first groups")
			sim.formCount = 0
			retired, quiesced := 0, 0
			sim.onRecord = func(rec recorder.Record, rea reducer.Reason, _ *reducer.View) {
				if rea == reducer.Accepted && rec.Kind == recorder.KindQuiesce {
					quiesced++
				}
				if rea == reducer.Accepted && rec.Kind == recorder.KindRetire {
					retired++
				}
			}
			sce.change(sim)
			for range sce.seconds {
				sim.tick()
				Expect(len(sim.servingGroups("scene"))).To(BeNumerically(">=", sce.minServing), "%v", reasons(sim))
			}
			Expect(sim.servingGroups("scene")).To(HaveLen(sce.serving), "%v", reasons(sim))
			Expect(sim.formCount).To(Equal(sce.forms), "forms")
			Expect(quiesced > 0).To(Equal(sce.quiesced), "quiesced")
			if sce.check != nil {
				sce.check(sim)
			}
		})
	}
})
