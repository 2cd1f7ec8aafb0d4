package grouper_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

var models = []router.Model{
	{Name: "large", Size: 4, Share: 0.5, TimeFactor: 1, StoreLoadTime: 16 * time.Second, HostLoadTime: 1600 * time.Millisecond},
	{Name: "small", Size: 2, Share: 0.5, TimeFactor: 1, StoreLoadTime: 12 * time.Second, HostLoadTime: 1100 * time.Millisecond},
}

// fixture is a fleet with its formations and the input of the planner.
type fixture struct {
	reg  *registrar.Registrar
	frms []grouper.Formation
	inp  grouper.Input
	// formed counts the groups that carryOut formed.
	formed int
}

func newFixture() *fixture {
	return &fixture{
		reg: registrar.New(clockwork.NewFakeClock()),
		inp: grouper.Input{Service: "s", Engine: router.Engine{Slots: 10, Models: models}},
	}
}

func (fix *fixture) addServer(id, domain string, setup func(ser *registrar.Server)) {
	ser := registrar.Server{ID: id, Service: "s", Domain: domain, Zone: "z-" + domain, Started: 1}
	if setup != nil {
		setup(&ser)
	}
	fix.reg.Put(ser)
}

// addGroup adds a group whose members are ready and whose head reports the given state.
func (fix *fixture) addGroup(name, model, domain string, standby bool, sta registrar.State) {
	frm := grouper.Formation{Name: name, Epoch: int64(len(fix.frms)), Service: "s", Model: model, Standby: standby}
	size := 2
	if model == "large" {
		size = 4
	}
	for rank := range size {
		id := fmt.Sprintf("%s-%d", name, rank)
		fix.addServer(id, domain, func(ser *registrar.Server) {
			ser.Loaded, ser.Staged = model, []string{"large", "small"}
			ser.Group = registrar.Membership{Name: name, Epoch: frm.Epoch, Rank: rank, State: registrar.Ready}
			if rank == 0 {
				ser.Group.State = sta
			}
		})
		frm.Members = append(frm.Members, registrar.Instance{ID: id, Started: 1})
	}
	fix.frms = append(fix.frms, frm)
}

func (fix *fixture) plan() grouper.Plan {
	fix.inp.View, fix.inp.Formations = fix.reg.View(), fix.frms
	return grouper.NewPlan(fix.inp)
}

// addServingGroups adds enough serving groups of both models, and a standby group in each domain.
func (fix *fixture) addServingGroups() {
	for num := range 3 {
		fix.addGroup(fmt.Sprint("l", num), "large", fmt.Sprint("d", num), false, registrar.Open)
		fix.addGroup(fmt.Sprint("s", num, "a"), "small", fmt.Sprint("d", num), false, registrar.Open)
		fix.addGroup(fmt.Sprint("s", num, "b"), "small", fmt.Sprint("d", num), false, registrar.Open)
		fix.addGroup(fmt.Sprint("x", num), "small", fmt.Sprint("d", num), true, registrar.Ready)
	}
}

func names(frms []grouper.Formation) []string {
	var out []string
	for _, frm := range frms {
		out = append(out, frm.Name)
	}
	return out
}

var _ = Describe("a plan", func() {
	It("spreads the groups of an empty fleet over domains and has the other servers load weights as spares", func() {
		fix := newFixture()
		fix.inp.BeforeFirstRequest = true
		for dom := range 6 {
			for num := range 10 {
				fix.addServer(fmt.Sprintf("e%d-%d", dom, num), fmt.Sprint("d", dom), nil)
			}
		}
		plan := fix.plan()
		count := map[string]int{}
		perDomain := map[string]int{}
		for _, pro := range plan.Form {
			count[fmt.Sprint(pro.Model.Name, pro.Standby)]++
			for _, mem := range pro.Members {
				Expect(mem.Domain).To(Equal(pro.Members[0].Domain))
			}
			if pro.Model.Name == "large" {
				perDomain[pro.Members[0].Domain]++
			}
		}
		Expect(count).To(Equal(map[string]int{"largefalse": 6, "smallfalse": 12, "largetrue": 12}))
		for _, pro := range plan.Form {
			if pro.Standby {
				Expect(pro.Members).To(HaveLen(1))
			}
		}
		Expect(perDomain).To(HaveLen(6))
	})

	It("does nothing while enough groups serve", func() {
		fix := newFixture()
		fix.addServingGroups()
		plan := fix.plan()
		Expect(plan.Form).To(BeEmpty())
		Expect(plan.Open).To(BeEmpty())
		Expect(plan.Dissolve).To(BeEmpty())
	})

	It("opens a standby group when a group of the same model is lost", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.reg.Suspect(registrar.Instance{ID: "s1a-1", Started: 1}, time.Now().Add(time.Hour), true)
		plan := fix.plan()
		Expect(names(plan.Dissolve)).To(Equal([]string{"s1a"}))
		Expect(plan.Open).To(HaveLen(1))
		Expect(plan.Open[0].Standby).To(BeTrue())
		Expect(plan.Form).To(BeEmpty())
	})

	It("replaces a lost member by a server of a standby group in the same domain", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.reg.Suspect(registrar.Instance{ID: "l1-2", Started: 1}, time.Now().Add(time.Hour), true)
		plan := fix.plan()
		Expect(names(plan.Dissolve)).To(ContainElement("l1"))
		fix.frms = slices.DeleteFunc(fix.frms, func(frm grouper.Formation) bool { return frm.Name == "l1" })
		fix.inp.Ended = map[string]bool{"l1": true}
		plan = fix.plan()
		Expect(names(plan.Dissolve)).To(ContainElement("x1"))
	})

	// Guards against servers taken from a group that serves although the store has lost the decision on it.
	It("leaves the servers of a group alone that serves without a decision", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.reg.Suspect(registrar.Instance{ID: "l0-2", Started: 1}, time.Now().Add(time.Hour), true)
		fix.frms = slices.DeleteFunc(fix.frms, func(frm grouper.Formation) bool { return frm.Name == "l1" })
		plan := fix.plan()
		Expect(plan.Unknown).To(HaveLen(1))
		for _, pro := range plan.Form {
			for _, mem := range pro.Members {
				Expect(mem.Group.Name).NotTo(Equal("l1"))
			}
		}
	})

	It("ends a decision without orders when a member is in a later group", func() {
		fix := newFixture()
		fix.addServingGroups()
		ser := fix.reg.View().Servers["l1-2"]
		ser.Group = registrar.Membership{Name: "later", Epoch: 1000, Rank: 1, State: registrar.Ready}
		fix.reg.Put(ser)
		plan := fix.plan()
		Expect(names(plan.Retire)).To(Equal([]string{"l1"}))
		Expect(plan.Dissolve).To(BeEmpty())
	})

	for _, cas := range []struct {
		name      string
		state     registrar.State
		era       int64
		dissolved bool
	}{
		{"opens no group that was ready when the store lost records", registrar.Ready, 1, true},
		{"keeps a group that was open when the store lost records", registrar.Open, 1, false},
		{"keeps a group loading that was decided before the store lost records", registrar.Joining, 1, false},
		{"keeps a ready group while the store has lost nothing since", registrar.Ready, 0, false},
	} {
		It(cas.name, func() {
			fix := newFixture()
			fix.addServingGroups()
			fix.addGroup("y", "small", "d0", true, cas.state)
			fix.inp.Era = cas.era
			plan := fix.plan()
			Expect(slices.Contains(names(plan.Dissolve), "y")).To(Equal(cas.dissolved))
			Expect(names(plan.Open)).NotTo(ContainElement("y"))
		})
	}

	It("plans nothing more while servers are about to be released", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.inp.Dissolving = map[string]bool{"x0": true}
		fix.inp.Loads = map[string]grouper.Load{"large": {Slots: 30, InUse: 29}}
		plan := fix.plan()
		Expect(plan.Dissolve).To(BeEmpty())
		Expect(plan.Form).To(BeEmpty())
	})

	It("opens one more group of a model with high utilization", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.inp.Loads = map[string]grouper.Load{"small": {Slots: 60, InUse: 40, Waiting: 10}}
		Expect(fix.plan().Open).To(HaveLen(1))
	})

	It("opens no more groups than the load needs while groups are being formed", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.inp.Loads = map[string]grouper.Load{"small": {Slots: 40, InUse: 35}}
		Expect(fix.plan().Open).To(BeEmpty())
	})

	It("keeps a group while its availability zone is out", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.reg.SetZonesOut(map[string]bool{"z-d0": true})
		plan := fix.plan()
		Expect(plan.Dissolve).To(BeEmpty())
	})

	It("dissolves a group when a member leaves the list", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.reg.Remove("l2-3", false)
		Expect(names(fix.plan().Dissolve)).To(Equal([]string{"l2"}))
	})

	It("states the groups that each model has, should have and needs for its load", func() {
		fix := newFixture()
		fix.addServingGroups()
		fix.reg.Remove("l2-3", false)
		fix.removeGroup("l2")
		fix.inp.Loads = map[string]grouper.Load{"large": {Slots: 20, InUse: 15}, "small": {Slots: 60, InUse: 20, Waiting: 1}}
		Expect(fix.plan().Models).To(Equal([]grouper.ModelState{
			{Model: "large", Groups: 2, Target: 3, Needed: 3, Load: grouper.Load{Slots: 20, InUse: 15}, Idle: 3},
			{Model: "small", Groups: 6, Target: 6, Needed: 3, Load: grouper.Load{Slots: 60, InUse: 20, Waiting: 1}},
		}))
	})

	It("stages another model on all servers before the first request, and later only on idle ones", func() {
		fix := newFixture()
		fix.addServingGroups()
		for _, ser := range fix.reg.View().Servers {
			ser.Staged = []string{ser.Loaded}
			fix.reg.Put(ser)
		}
		fix.inp.BeforeFirstRequest = true
		Expect(fix.plan().Stage).To(HaveLen(30))
		fix.inp.BeforeFirstRequest = false
		Expect(fix.plan().Stage).To(HaveLen(6))
	})
})
