package keeper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/prober"
)

var _ = Describe("what a home tells of its units", func() {
	It("follows the load seldom and warmth at once", func() {
		wor := newWorld(1)
		wor.begin()
		last := map[string]keeper.Standing{}
		loads, toldAt := 0, map[string]time.Time{}
		for range 200 {
			wor.step()
			vie := wor.nodes[0].fol.View()
			for _, unit := range wor.unitNames() {
				sta, told := wor.home(unit).kee.Standing(vie, unit)
				if !told || sta == last[unit] {
					continue
				}
				same := last[unit]
				same.Running, same.Waiting, same.Limit = sta.Running, sta.Waiting, sta.Limit
				if same == sta {
					loads++
					Expect(wor.clk.Now().Sub(toldAt[unit])).To(BeNumerically(">=", time.Second), unit)
				}
				if _, seen := last[unit]; seen {
					toldAt[unit] = wor.clk.Now()
				}
				last[unit] = sta
			}
		}
		Expect(loads).To(BeNumerically(">", 0))
		for range 12 {
			for _, bac := range wor.units {
				bac.turn()
				bac.cooled = wor.clk.Now()
				bac.past = []prober.Status{{Running: len(bac.running), Warm: bac.warm, Started: bac.started, State: prober.Ready}}
			}
			wor.step()
			wor.step()
			for unit := range wor.units {
				wor.home(unit).kee.Round(ended())
				sta, _ := wor.home(unit).kee.Standing(wor.nodes[0].fol.View(), unit)
				adm, _ := wor.home(unit).adm.Status(unit)
				Expect(sta.Warm).To(Equal(adm.Warm), unit)
			}
		}
	})
})

func (wor *world) home(unit string) *node {
	inc := wor.nodes[0].fol.View().Homes[unit].Incarnation
	for _, nod := range wor.nodes {
		if nod.self() == inc {
			return nod
		}
	}
	return nil
}
