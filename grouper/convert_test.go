package grouper_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
)

// The load of a day on which the large model loses its groups one after the other while the small one has more than it needs: requests for the large model wait for places beside idle ones.
var _ = Describe("Make, with one model short and another well supplied", func() {
	// uneven is a fleet with one large group and four small ones in each of two domains; the hosts hold the other model.
	uneven := func() *scene {
		sce := newScene()
		for dom := range 2 {
			sce.group(fmt.Sprint("l", dom), "large", fmt.Sprint("d", dom), false, registrar.Open)
			for num := range 3 {
				sce.group(fmt.Sprintf("s%d%d", dom, num), "small", fmt.Sprint("d", dom), false, registrar.Open)
			}
		}
		sce.drop("l1")
		for rank := range 4 {
			sce.reg.Remove(fmt.Sprint("l1-", rank), false)
		}
		return sce
	}

	cases := []struct {
		name  string
		large grouper.Load
		small grouper.Load
		with  func(sce *scene)
		gives int
	}{
		{"gives two small groups of one domain", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, nil, 2},
		{"gives none while the large model has places", grouper.Load{Slots: 10, InUse: 8}, grouper.Load{Slots: 60, InUse: 20}, nil, 0},
		{"gives none that the small model needs", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 40}, nil, 0},
		{"gives none whose hosts would have to load", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, func(sce *scene) {
			for _, ser := range sce.reg.View().Servers {
				ser.Staged = []string{ser.Loaded}
				sce.reg.Put(ser)
			}
		}, 0},
		{"gives none before the first request", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, func(sce *scene) { sce.pic.BeforeFirstRequest = true }, 0},
		{"gives none while others are on their way", grouper.Load{Slots: 10, InUse: 10}, grouper.Load{Slots: 60, InUse: 20}, func(sce *scene) {
			sce.pic.Dissolving = map[string]bool{"s00": true}
		}, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			sce := uneven()
			sce.pic.Loads = map[string]grouper.Load{"large": cas.large, "small": cas.small}
			if cas.with != nil {
				cas.with(sce)
			}
			plan := sce.plan()
			Expect(plan.Dissolve).To(HaveLen(cas.gives))
			domains := map[string]bool{}
			for _, frm := range plan.Dissolve {
				Expect(frm.Model).To(Equal("small"))
				domains[sce.reg.View().Servers[frm.Members[0].ID].Domain] = true
			}
			Expect(len(domains)).To(Equal(min(1, cas.gives)))
		})
	}

	It("has the large model served without a load from the weight store", func() {
		sce := uneven()
		sce.pic.Loads = map[string]grouper.Load{"large": {Slots: 10, InUse: 10}, "small": {Slots: 60, InUse: 20}}
		for _, frm := range sce.plan().Dissolve {
			sce.drop(frm.Name)
		}
		var formed []grouper.Proposal
		for _, pro := range sce.plan().Form {
			if pro.Model.Name == "large" {
				formed = append(formed, pro)
			}
		}
		Expect(formed).To(HaveLen(1))
		Expect(formed[0].Loads).To(BeZero())
		Expect(formed[0].ReadyIn).To(Equal(models[0].StagedIn))
	})
})

// drop forgets a formation, as one that was dissolved.
func (sce *scene) drop(name string) {
	sce.frms = slices.DeleteFunc(sce.frms, func(frm grouper.Formation) bool { return frm.Name == name })
	for _, ser := range sce.reg.View().Servers {
		if ser.Group.Name == name {
			ser.Group = registrar.Membership{}
			sce.reg.Put(ser)
		}
	}
}
