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
	{Name: "large", Size: 4, Share: 0.5, Pace: 1, LoadIn: 16 * time.Second, StagedIn: 1600 * time.Millisecond},
	{Name: "small", Size: 2, Share: 0.5, Pace: 1, LoadIn: 12 * time.Second, StagedIn: 1100 * time.Millisecond},
}

// scene is a fleet with its formations.
type scene struct {
	reg  *registrar.Registrar
	frms []grouper.Formation
	pic  grouper.Input
}

func newScene() *scene {
	return &scene{
		reg: registrar.New(clockwork.NewFakeClock()),
		pic: grouper.Input{Service: "s", Engine: router.Engine{Slots: 10, Models: models}},
	}
}

func (sce *scene) server(id, domain string, with func(ser *registrar.Server)) {
	ser := registrar.Server{ID: id, Service: "s", Domain: domain, Zone: "z-" + domain, Started: 1}
	if with != nil {
		with(&ser)
	}
	sce.reg.Put(ser)
}

// group adds a group of which all members report the state.
func (sce *scene) group(name, model, domain string, standby bool, sta registrar.State) {
	frm := grouper.Formation{Name: name, Epoch: int64(len(sce.frms)), Service: "s", Model: model, Standby: standby}
	size := 2
	if model == "large" {
		size = 4
	}
	for rank := range size {
		id := fmt.Sprintf("%s-%d", name, rank)
		sce.server(id, domain, func(ser *registrar.Server) {
			ser.Loaded, ser.Staged = model, []string{"large", "small"}
			ser.Group = registrar.Membership{Name: name, Epoch: frm.Epoch, Rank: rank, State: registrar.Ready}
			if rank == 0 {
				ser.Group.State = sta
			}
		})
		frm.Members = append(frm.Members, registrar.Life{ID: id, Started: 1})
	}
	sce.frms = append(sce.frms, frm)
}

func (sce *scene) plan() grouper.Plan {
	sce.pic.View, sce.pic.Formations = sce.reg.View(), sce.frms
	return grouper.NewPlan(sce.pic)
}

// fill has enough groups of both models serve.
func (sce *scene) fill() {
	for num := range 3 {
		sce.group(fmt.Sprint("l", num), "large", fmt.Sprint("d", num), false, registrar.Open)
		sce.group(fmt.Sprint("s", num, "a"), "small", fmt.Sprint("d", num), false, registrar.Open)
		sce.group(fmt.Sprint("s", num, "b"), "small", fmt.Sprint("d", num), false, registrar.Open)
		sce.group(fmt.Sprint("x", num), "small", fmt.Sprint("d", num), true, registrar.Ready)
	}
}

func names(frms []grouper.Formation) []string {
	var out []string
	for _, frm := range frms {
		out = append(out, frm.Name)
	}
	return out
}

var _ = Describe("Make", func() {
	It("spreads the groups of an empty fleet over domains and leaves some standing by", func() {
		sce := newScene()
		sce.pic.BeforeFirstRequest = true
		for dom := range 6 {
			for num := range 10 {
				sce.server(fmt.Sprintf("e%d-%d", dom, num), fmt.Sprint("d", dom), nil)
			}
		}
		plan := sce.plan()
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
		Expect(count).To(Equal(map[string]int{"largefalse": 6, "smallfalse": 12, "smalltrue": 6}))
		Expect(perDomain).To(HaveLen(6))
	})

	It("does nothing while enough groups serve", func() {
		sce := newScene()
		sce.fill()
		plan := sce.plan()
		Expect(plan.Form).To(BeEmpty())
		Expect(plan.Open).To(BeEmpty())
		Expect(plan.Dissolve).To(BeEmpty())
	})

	It("opens a group that stands by when one of its model is lost", func() {
		sce := newScene()
		sce.fill()
		sce.reg.Doubt(registrar.Life{ID: "s1a-1", Started: 1}, time.Now().Add(time.Hour), true)
		plan := sce.plan()
		Expect(names(plan.Dissolve)).To(Equal([]string{"s1a"}))
		Expect(plan.Open).To(HaveLen(1))
		Expect(plan.Open[0].Standby).To(BeTrue())
		Expect(plan.Form).To(BeEmpty())
	})

	It("takes the place of a lost member from a group that stands by in the same domain", func() {
		sce := newScene()
		sce.fill()
		sce.reg.Doubt(registrar.Life{ID: "l1-2", Started: 1}, time.Now().Add(time.Hour), true)
		plan := sce.plan()
		Expect(names(plan.Dissolve)).To(ContainElement("l1"))
		sce.frms = slices.DeleteFunc(sce.frms, func(frm grouper.Formation) bool { return frm.Name == "l1" })
		plan = sce.plan()
		Expect(names(plan.Dissolve)).To(ContainElement("x1"))
	})

	It("makes no second plan for servers that are about to be free", func() {
		sce := newScene()
		sce.fill()
		sce.pic.Dissolving = map[string]bool{"x0": true}
		sce.pic.Loads = map[string]grouper.Load{"large": {Slots: 30, InUse: 29}}
		plan := sce.plan()
		Expect(plan.Dissolve).To(BeEmpty())
		Expect(plan.Form).To(BeEmpty())
	})

	It("wants one more group of a model that is crowded", func() {
		sce := newScene()
		sce.fill()
		sce.pic.Loads = map[string]grouper.Load{"small": {Slots: 60, InUse: 40, Waiting: 10}}
		Expect(sce.plan().Open).To(HaveLen(1))
	})

	It("leaves a group alone while its availability zone is out", func() {
		sce := newScene()
		sce.fill()
		sce.reg.SetZonesOut(map[string]bool{"z-d0": true})
		plan := sce.plan()
		Expect(plan.Dissolve).To(BeEmpty())
	})

	It("dissolves a group with a member that leaves", func() {
		sce := newScene()
		sce.fill()
		sce.reg.Remove("l2-3", false)
		Expect(names(sce.plan().Dissolve)).To(Equal([]string{"l2"}))
	})

	It("has all servers hold another model before the first request, and later only idle ones", func() {
		sce := newScene()
		sce.fill()
		for _, ser := range sce.reg.View().Servers {
			ser.Staged = []string{ser.Loaded}
			sce.reg.Put(ser)
		}
		sce.pic.BeforeFirstRequest = true
		Expect(sce.plan().Stage).To(HaveLen(30))
		sce.pic.BeforeFirstRequest = false
		Expect(sce.plan().Stage).To(HaveLen(6))
	})
})
