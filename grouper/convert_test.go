package grouper_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
)

// Guards against requests for one model that wait for slots beside idle slots of another: the large model loses its groups one after the other while the small one has more than it needs.
var _ = Describe("a plan for one overloaded model and surplus groups of another", func() {
	// unevenFleet returns a fleet with a large group and three small ones in each of two domains, of which one large group is lost. The hosts have both models staged.
	unevenFleet := func() *fixture {
		fix := newFixture()
		for dom := range 2 {
			fix.addGroup(fmt.Sprint("l", dom), "large", fmt.Sprint("d", dom), false, registrar.Open)
			for num := range 3 {
				fix.addGroup(fmt.Sprintf("s%d%d", dom, num), "small", fmt.Sprint("d", dom), false, registrar.Open)
			}
		}
		fix.removeGroup("l1")
		for rank := range 4 {
			fix.reg.Remove(fmt.Sprint("l1-", rank), false)
		}
		return fix
	}

	cases := []struct {
		name      string
		large     grouper.Load
		small     grouper.Load
		setup     func(fix *fixture)
		dissolved int
	}{
		{"dissolves two small groups of one domain", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, nil, 2},
		{"dissolves none while the large model has free slots", grouper.Load{Slots: 10, InUse: 8}, grouper.Load{Slots: 60, InUse: 20}, nil, 0},
		{"dissolves none that the small model needs", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 40}, nil, 0},
		{"dissolves none whose hosts would have to load", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, func(fix *fixture) {
			for _, ser := range fix.reg.View().Servers {
				ser.Staged = []string{ser.Loaded}
				fix.reg.Put(ser)
			}
		}, 0},
		{"dissolves none before the first request", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, func(fix *fixture) { fix.inp.BeforeFirstRequest = true }, 0},
		{"dissolves none while another group is being dissolved", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, func(fix *fixture) {
			fix.inp.Dissolving = map[string]bool{"s00": true}
		}, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			fix := unevenFleet()
			fix.inp.Loads = map[string]grouper.Load{"large": cas.large, "small": cas.small}
			if cas.setup != nil {
				cas.setup(fix)
			}
			plan := fix.plan()
			Expect(plan.Dissolve).To(HaveLen(cas.dissolved))
			domains := map[string]bool{}
			for _, frm := range plan.Dissolve {
				Expect(frm.Model).To(Equal("small"))
				domains[fix.reg.View().Servers[frm.Members[0].ID].Domain] = true
			}
			Expect(len(domains)).To(Equal(min(1, cas.dissolved)))
		})
	}

	It("forms a large group without a load from the weight store", func() {
		fix := unevenFleet()
		fix.inp.Loads = map[string]grouper.Load{"large": {Slots: 10, InUse: 10}, "small": {Slots: 60, InUse: 20}}
		for _, frm := range fix.plan().Dissolve {
			fix.removeGroup(frm.Name)
		}
		var formed []grouper.Proposal
		for _, pro := range fix.plan().Form {
			if pro.Model.Name == "large" {
				formed = append(formed, pro)
			}
		}
		Expect(formed).To(HaveLen(1))
		Expect(formed[0].Loads).To(BeZero())
		Expect(formed[0].ReadyIn).To(Equal(models[0].HostLoadTime))
	})
})

// removeGroup removes a formation as if it had been dissolved.
func (fix *fixture) removeGroup(name string) {
	fix.frms = slices.DeleteFunc(fix.frms, func(frm grouper.Formation) bool { return frm.Name == name })
	for _, ser := range fix.reg.View().Servers {
		if ser.Group.Name == name {
			ser.Group = registrar.Membership{}
			fix.reg.Put(ser)
		}
	}
}
