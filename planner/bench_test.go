package planner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/planner"
)

// largeCatalog returns a catalog of 1,200 VMs in 36 fabric domains.
func largeCatalog() cataloger.Catalog {
	cat := catalog(3, 12, 34, map[string]cataloger.Model{
		"large": model(60, 8, 320), "medium": model(100, 4, 80), "small": model(200, 1, 10),
	})
	for _, name := range slices.Sorted(maps.Keys(cat.Inventory.VMs))[1200:] {
		delete(cat.Inventory.VMs, name)
	}
	return cat
}

func BenchmarkPlan(b *testing.B) {
	for _, steady := range []bool{true, false} {
		b.Run(fmt.Sprintf("steady=%t", steady), func(b *testing.B) {
			sim := newSimulation(1, largeCatalog())
			if steady {
				sim.pla.Options.MaxQueueTime = 24 * time.Hour
				for range 6000 {
					sim.tick()
					if len(sim.servingGroups("large")) == 60 && len(sim.servingGroups("medium")) == 100 && len(sim.servingGroups("small")) == 200 {
						break
					}
				}
				b.Logf("%d groups", len(sim.vie.Groups))
			}
			obs := sim.observe()
			for b.Loop() {
				sim.pla.Plan(sim.clk.Now(), sim.vie, obs, planner.NewMemory())
			}
		})
	}
}

// downtime returns how long a group, or its replacement, does not serve after one of its members is lost.
func downtime(seed uint64, elsewhere bool) time.Duration {
	sim := newSimulation(seed, catalog(3, 2, 9, map[string]cataloger.Model{"scene": model(6, 4, 80)}))
	sim.pla.Options.ReformElsewhere = elsewhere
	sim.tickUntil(600, func() bool { return len(sim.servingGroups("scene")) == 6 })
	rng := rand.New(rand.NewPCG(seed, 3))
	for range idleSeconds {
		sim.tick()
	}
	groups := sim.servingGroups("scene")
	vms := sim.vie.Groups[groups[rng.IntN(len(groups))]].VMs
	sim.engines[vms[rng.IntN(len(vms))]].die(sim.clk.Now())
	since := sim.clk.Now()
	sim.tickUntil(600, func() bool { return len(sim.servingGroups("scene")) == 6 })
	return sim.clk.Now().Sub(since)
}

// idleSeconds is the time before the fault in which spares may preload weights.
const idleSeconds = 60

func BenchmarkDowntime(b *testing.B) {
	const seeds = 20
	var spare, elsewhere time.Duration
	for b.Loop() {
		spare, elsewhere = 0, 0
		for seed := uint64(1); seed <= seeds; seed++ {
			spare += downtime(seed, false) / seeds
			elsewhere += downtime(seed, true) / seeds
		}
	}
	b.Logf("seeds 1 to %d, grace %s", seeds, planner.DefaultOptions().GracePeriod)
	b.ReportMetric(spare.Seconds(), "spare_first_s")
	b.ReportMetric(elsewhere.Seconds(), "elsewhere_s")
	b.ReportMetric(spare.Seconds()/elsewhere.Seconds(), "ratio")
	b.ReportMetric(80/4/storeRate, "spare_floor_s")
	b.ReportMetric(80/storeRate, "elsewhere_floor_s")
	b.ReportMetric(0, "ns/op")
}

// zoneOutage takes a zone out for two minutes and returns, up to two minutes after its return,
// the sum of missing groups over all seconds and the lowest number of serving groups.
func zoneOutage(pol placer.Policy, zone string) (missing, fewest int) {
	const wanted = 6
	sim := newSimulation(1, catalog(3, 2, 9, map[string]cataloger.Model{"scene": model(wanted, 4, 80)}))
	sim.pla.Policy = pol
	sim.tickUntil(600, func() bool { return len(sim.servingGroups("scene")) == wanted })
	sim.setZonesOut(zone)
	fewest = wanted
	for second := range 240 {
		if second == 120 {
			sim.setZonesOut()
		}
		num := min(len(sim.servingGroups("scene")), wanted)
		fewest = min(fewest, num)
		missing += wanted - num
		sim.tick()
	}
	return missing, fewest
}

func BenchmarkZoneMove(b *testing.B) {
	for _, pol := range []struct {
		name string
		pol  placer.Policy
	}{{"best_fit", placer.BestFit{}}, {"first_fit", placer.FirstFit{}}, {"spread_only", placer.SpreadOnly{}}} {
		b.Run(pol.name, func(b *testing.B) {
			worst, fewest := 0, 6
			for b.Loop() {
				for _, zone := range []string{"z1", "z2", "z3"} {
					missing, num := zoneOutage(pol.pol, zone)
					worst, fewest = max(worst, missing), min(fewest, num)
				}
			}
			b.ReportMetric(float64(worst), "worst_missing_group_s")
			b.ReportMetric(float64(fewest), "fewest_of_6")
			b.ReportMetric(0, "ns/op")
		})
	}
}
