package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/prober"
)

var _ = Describe("the status that a home publishes of its units", func() {
	It("limits the rate of load changes and publishes warmth at once", func() {
		sim := newSimulation(1)
		sim.bootstrap()
		last := map[string]keeper.UnitStatus{}
		loads, publishedAt := 0, map[string]time.Time{}
		for range 200 {
			sim.step()
			vie := sim.nodes[0].fol.View()
			for _, unit := range sim.unitNames() {
				sta, found := sim.homeOf(unit).kee.UnitStatus(vie, unit)
				if !found || sta == last[unit] {
					continue
				}
				lastWithLoad := last[unit]
				lastWithLoad.Running, lastWithLoad.Waiting, lastWithLoad.Limit = sta.Running, sta.Waiting, sta.Limit
				if lastWithLoad == sta {
					loads++
					Expect(sim.clk.Now().Sub(publishedAt[unit])).To(BeNumerically(">=", time.Second), unit)
				}
				if _, seen := last[unit]; seen {
					publishedAt[unit] = sim.clk.Now()
				}
				last[unit] = sta
			}
		}
		Expect(loads).To(BeNumerically(">", 0))
		for range 12 {
			for _, bac := range sim.units {
				bac.toggleWarm()
				bac.cooledAt = sim.clk.Now()
				bac.reports = []prober.Status{{Running: len(bac.running), Warm: bac.warm, Started: bac.started, State: prober.Ready}}
			}
			sim.step()
			sim.step()
			for unit := range sim.units {
				sim.homeOf(unit).kee.UpdateUnits(canceledContext())
				sta, _ := sim.homeOf(unit).kee.UnitStatus(sim.nodes[0].fol.View(), unit)
				adm, _ := sim.homeOf(unit).adm.Status(unit)
				Expect(sta.Warm).To(Equal(adm.Warm), unit)
			}
		}
	})
})

func (sim *simulation) homeOf(unit string) *node {
	inc := sim.nodes[0].fol.View().Homes[unit].Incarnation
	for _, nod := range sim.nodes {
		if nod.self() == inc {
			return nod
		}
	}
	return nil
}
