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

type scene struct {
	what     string
	zones    int
	domains  int
	vms      int
	models   map[string]cataloger.Model
	change   func(wor *world)
	seconds  int
	forms    int
	serving  int
	always   int
	quiesced bool
	check    func(wor *world)
}

func firstGroup(wor *world) reducer.Group {
	return wor.vie.Groups[wor.serving("scene")[0]]
}

func leave(wor *world) {
	eng := wor.engines[firstGroup(wor).VMs[1]]
	eng.leaving, eng.leavesAt = true, wor.clk.Now().Add(90*time.Second)
}

var scenes = []scene{
	{
		what: "a member that dies for less than the grace changes nothing", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			eng := wor.engines[firstGroup(wor).VMs[2]]
			eng.alive, eng.changed = false, wor.clk.Now()
			wor.later(2*time.Second, func() { eng.alive = true })
		},
		seconds: 60, forms: 0, serving: 2,
	},
	{
		what: "an idle spare loads the weights that its domain may need", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(*world) {},
		check: func(wor *world) {
			for name, eng := range wor.engines {
				if wor.vie.Owners[name] == "" {
					Expect(eng.model).To(Equal("scene"), name)
				}
			}
		},
		seconds: 30, forms: 0, serving: 2, always: 2,
	},
	{
		what: "a lost member is replaced by a spare of the domain", zones: 2, domains: 1, vms: 5,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.engines[firstGroup(wor).VMs[2]].die(wor.clk.Now()) },
		seconds: 60, forms: 1, serving: 2, always: 1,
	},
	{
		what: "a group without a spare is formed elsewhere", zones: 3, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.engines[firstGroup(wor).VMs[0]].die(wor.clk.Now()) },
		seconds: 60, forms: 1, serving: 2, always: 1,
	},
	{
		what: "without room a group waits with a reason", zones: 2, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.engines[firstGroup(wor).VMs[0]].die(wor.clk.Now()) },
		seconds: 60, forms: 0, serving: 1, always: 1,
		check: func(wor *world) {
			Expect(strings.Join(reasons(wor), "\n")).To(ContainSubstring("no spare in domain"))
		},
	},
	{
		what: "two broken groups of a domain make one whole", zones: 1, domains: 1, vms: 8,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			for _, name := range wor.serving("scene") {
				wor.engines[wor.vie.Groups[name].VMs[1]].die(wor.clk.Now())
			}
		},
		seconds: 60, forms: 1, serving: 1,
	},
	{
		what: "a dark domain is formed elsewhere and its return is trimmed", zones: 3, domains: 1, vms: 4,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			for _, name := range firstGroup(wor).VMs {
				eng := wor.engines[name]
				eng.die(wor.clk.Now())
				wor.later(30*time.Second, func() { eng.revive(wor.clk.Now()) })
			}
		},
		seconds: 120, forms: 1, serving: 2, always: 1, quiesced: true,
	},
	{
		what: "a leaving member is replaced by a staged spare", zones: 2, domains: 1, vms: 5,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { leave(wor) },
		seconds: 120, forms: 1, serving: 2, always: 1, quiesced: true,
	},
	{
		what: "a spare that is staged for a group goes to no other model", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40), "notes": model(0, 1, 10)},
		change: func(wor *world) {
			leave(wor)
			wor.setModel("notes", func(mod *cataloger.Model) { mod.Replicas = 1 })
		},
		seconds: 120, forms: 2, serving: 2, always: 1, quiesced: true,
	},
	{
		what: "a leaving member without a spare is replaced by a whole group first", zones: 3, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { leave(wor) },
		seconds: 120, forms: 1, serving: 2, always: 2, quiesced: true,
	},
	{
		what: "running requests end before a planned replacement", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			leave(wor)
			eng := wor.engines[firstGroup(wor).VMs[0]]
			eng.running = 1
			wor.later(40*time.Second, func() { Expect(firstQuiesced(wor)).To(BeTrue()); eng.running = 0 })
		},
		seconds: 60, forms: 1, serving: 2, always: 1, quiesced: true,
	},
	{
		what: "a straggler is replaced once", zones: 2, domains: 1, vms: 5,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.engines[firstGroup(wor).VMs[3]].step = 200 * time.Millisecond },
		seconds: 300, forms: 1, serving: 2, always: 1, quiesced: true,
	},
	{
		what: "a step time that is long now and then is no straggler", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			eng := wor.engines[firstGroup(wor).VMs[3]]
			for sec := range 200 {
				wor.later(time.Duration(sec)*time.Second, func() {
					eng.step = 20 * time.Millisecond
					if sec%5 < 4 {
						eng.step = 200 * time.Millisecond
					}
				})
			}
		},
		seconds: 200, forms: 0, serving: 2, always: 2,
	},
	{
		what: "an engine that fails its loads is avoided with a reason", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			eng := wor.engines[firstGroup(wor).VMs[0]]
			eng.fails, eng.state = true, planner.StateFailed
		},
		seconds: 180, forms: 1, serving: 2, always: 1,
	},
	{
		what: "an engine whose load does not end is avoided", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			eng := wor.engines[firstGroup(wor).VMs[0]]
			eng.hangs, eng.state = true, planner.StateLoading
		},
		seconds: 180, forms: 1, serving: 2, always: 1,
	},
	{
		what: "a zone that is out is made good elsewhere and its return ends with the wanted number", zones: 3, domains: 1, vms: 8,
		models: map[string]cataloger.Model{"scene": model(3, 4, 40)},
		change: func(wor *world) {
			wor.setZonesOut(firstGroup(wor).Zone)
			wor.later(60*time.Second, func() { wor.setZonesOut() })
		},
		seconds: 150, forms: 1, serving: 3, always: 2, quiesced: true,
	},
	{
		what: "a new version rolls one group at a time", zones: 3, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.setModel("scene", func(mod *cataloger.Model) { mod.Version = "2" }) },
		seconds: 120, forms: 2, serving: 2, always: 2, quiesced: true,
		check: func(wor *world) { Expect(firstGroup(wor).Version).To(Equal("2")) },
	},
	{
		what: "a new version rolls in place without room", zones: 2, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.setModel("scene", func(mod *cataloger.Model) { mod.Version = "2" }) },
		seconds: 120, forms: 2, serving: 2, always: 1, quiesced: true,
	},
	{
		what: "fewer wanted replicas are retired after quiescing", zones: 3, domains: 1, vms: 4,
		models: map[string]cataloger.Model{"scene": model(3, 4, 40)},
		change: func(wor *world) {
			wor.setModel("scene", func(mod *cataloger.Model) { mod.Replicas = 1 })
			wor.onAction = func(act planner.Action) {
				Expect(act.Quiesce != nil && firstQuiesced(wor)).To(BeFalse(), "one group at a time")
			}
		},
		seconds: 120, forms: 0, serving: 1, always: 1, quiesced: true,
	},
	{
		what: "an engine led astray by a late order is ordered again", zones: 2, domains: 1, vms: 4,
		models:  map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change:  func(wor *world) { wor.engines[firstGroup(wor).VMs[0]].fence = 1 },
		seconds: 20, forms: 0, serving: 2, always: 1,
	},
	{
		what: "an engine in no group that shows one is unloaded", zones: 2, domains: 1, vms: 5,
		models: map[string]cataloger.Model{"scene": model(2, 4, 40)},
		change: func(wor *world) {
			for _, eng := range wor.engines {
				if eng.group == "" {
					eng.group, eng.fence, eng.state = "old", 1, planner.StateReady
				}
			}
		},
		seconds: 20, forms: 0, serving: 2, always: 2,
		check: func(wor *world) {
			for _, eng := range wor.engines {
				Expect(eng.group).NotTo(Equal("old"))
			}
		},
	},
}

func firstQuiesced(wor *world) bool {
	for _, grp := range wor.vie.Groups {
		if grp.Quiesced {
			return true
		}
	}
	return false
}

func reasons(wor *world) []string {
	var out []string
	for subject, why := range wor.mem.Reasons() {
		out = append(out, subject+": "+why)
	}
	slices.Sort(out)
	return out
}

var _ = Describe("Plan", func() {
	It("proposes each group once while the log is slow", func() {
		wor := newWorld(1, catalog(3, 1, 4, map[string]cataloger.Model{"scene": model(2, 4, 40)}))
		proposed := 0
		wor.slow = 6 * time.Second
		wor.onAction = func(act planner.Action) {
			if act.Form != nil {
				proposed++
			}
		}
		Expect(wor.until(60, func() bool { return len(wor.serving("scene")) == 2 })).To(BeTrue())
		Expect(proposed).To(Equal(2))
	})

	It("forms what returns most service first, within the weight store's rate", func() {
		cat := catalog(3, 3, 8, map[string]cataloger.Model{
			"heavy": model(1, 4, 200), "light": model(2, 2, 20), "first": model(1, 2, 40), "second": model(1, 2, 40),
		})
		cat.Inventory.Workspaces = map[string]cataloger.WorkspaceSpec{"hall": {Models: []string{"second"}}}
		cat.Rules.Workspaces = map[string]cataloger.WorkspaceRule{"hall": {Priority: 5}}
		wor := newWorld(1, cat)
		wor.pla.Options.LoadAhead = time.Second
		var order []string
		wor.onAction = func(act planner.Action) {
			if act.Form != nil {
				order = append(order, act.Form.Model)
				Expect(wor.storeAt.Sub(wor.clk.Now())).To(BeNumerically("<=", time.Second))
			}
		}
		wor.until(60, func() bool { return len(wor.vie.Groups) == 5 })
		Expect(order).To(Equal([]string{"second", "first", "light", "heavy", "light"}))
	})

	It("splits the wanted groups over the regions by their room", func() {
		cat := catalog(3, 2, 4, map[string]cataloger.Model{"scene": model(4, 4, 40)})
		cat.Inventory.Zones["z3"] = cataloger.Zone{Region: "perak"}
		wor := newWorld(1, cat)
		forms := func(region string) int {
			pla := planner.New(region)
			pla.Options.LoadAhead = time.Hour
			return len(pla.Plan(wor.clk.Now(), wor.vie, wor.observe(), planner.NewMemory()))
		}
		Expect([]int{forms(region), forms("perak")}).To(Equal([]int{3, 1}))
	})

	It("uses the VM of a former straggler again after a while", func() {
		wor := newWorld(1, catalog(3, 1, 4, map[string]cataloger.Model{"scene": model(2, 4, 40)}))
		Expect(wor.until(60, func() bool { return len(wor.serving("scene")) == 2 })).To(BeTrue())
		slow := firstGroup(wor).VMs[3]
		wor.engines[slow].step = 200 * time.Millisecond
		Expect(wor.until(60, func() bool { return wor.vie.Owners[slow] == "" && len(wor.serving("scene")) == 2 })).To(BeTrue())
		wor.engines[slow].step = 20 * time.Millisecond
		wor.until(700, func() bool { return false })
		wor.engines[firstGroup(wor).VMs[0]].die(wor.clk.Now())
		Expect(wor.until(60, func() bool { return wor.vie.Owners[slow] != "" && len(wor.serving("scene")) == 2 })).To(BeTrue())
	})

	It("does nothing without observations", func() {
		wor := newWorld(1, catalog(3, 1, 5, map[string]cataloger.Model{"scene": model(2, 4, 40)}))
		Expect(wor.until(60, func() bool { return len(wor.serving("scene")) == 2 })).To(BeTrue())
		wor.setModel("scene", func(mod *cataloger.Model) { mod.Replicas = 3 })
		for range 30 {
			wor.clk.Advance(time.Second)
			Expect(wor.pla.Plan(wor.clk.Now(), wor.vie, planner.Observations{}, wor.mem)).To(BeEmpty())
		}
	})

	for _, sce := range scenes {
		It(sce.what, func() {
			wor := newWorld(1, catalog(sce.zones, sce.domains, sce.vms, sce.models))
			wanted := sce.models["scene"].Replicas
			Expect(wor.until(120, func() bool { return len(wor.serving("scene")) == wanted })).To(BeTrue(), "first groups")
			wor.forms = 0
			retired, quiesced := 0, 0
			wor.onRecord = func(rec recorder.Record, rea reducer.Reason, _ *reducer.View) {
				if rea == reducer.Accepted && rec.Kind == recorder.KindQuiesce {
					quiesced++
				}
				if rea == reducer.Accepted && rec.Kind == recorder.KindRetire {
					retired++
				}
			}
			sce.change(wor)
			for range sce.seconds {
				wor.tick()
				Expect(len(wor.serving("scene"))).To(BeNumerically(">=", sce.always), "%v", reasons(wor))
			}
			Expect(wor.serving("scene")).To(HaveLen(sce.serving), "%v", reasons(wor))
			Expect(wor.forms).To(Equal(sce.forms), "forms")
			Expect(quiesced > 0).To(Equal(sce.quiesced), "quiesced")
			if sce.check != nil {
				sce.check(wor)
			}
		})
	}
})
