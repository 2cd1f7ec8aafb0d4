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

// largeCatalog has 1,200 VMs in 36 domains.
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
			wor := newWorld(1, largeCatalog())
			if steady {
				wor.pla.Options.LoadAhead = 24 * time.Hour
				for range 6000 {
					wor.tick()
					if len(wor.serving("large")) == 60 && len(wor.serving("medium")) == 100 && len(wor.serving("small")) == 200 {
						break
					}
				}
				b.Logf("%d groups", len(wor.vie.Groups))
			}
			obs := wor.observe()
			for b.Loop() {
				wor.pla.Plan(wor.clk.Now(), wor.vie, obs, planner.NewMemory())
			}
		})
	}
}

// downtime returns how long the group of a lost member, or the group in its place, does not serve.
func downtime(seed uint64, elsewhere bool) time.Duration {
	wor := newWorld(seed, catalog(3, 2, 9, map[string]cataloger.Model{"scene": model(6, 4, 80)}))
	wor.pla.Options.ReformElsewhere = elsewhere
	wor.until(600, func() bool { return len(wor.serving("scene")) == 6 })
	rng := rand.New(rand.NewPCG(seed, 3))
	for range idle {
		wor.tick()
	}
	groups := wor.serving("scene")
	vms := wor.vie.Groups[groups[rng.IntN(len(groups))]].VMs
	wor.engines[vms[rng.IntN(len(vms))]].die(wor.clk.Now())
	since := wor.clk.Now()
	wor.until(600, func() bool { return len(wor.serving("scene")) == 6 })
	return wor.clk.Now().Sub(since)
}

// idle is how many seconds pass before the fault, in which spares may load weights ahead.
const idle = 60

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
	b.Logf("seeds 1 to %d, grace %s", seeds, planner.Defaults().Grace)
	b.ReportMetric(spare.Seconds(), "spare_first_s")
	b.ReportMetric(elsewhere.Seconds(), "elsewhere_s")
	b.ReportMetric(spare.Seconds()/elsewhere.Seconds(), "ratio")
	b.ReportMetric(80/4/storeRate, "spare_floor_s")
	b.ReportMetric(80/storeRate, "elsewhere_floor_s")
	b.ReportMetric(0, "ns/op")
}

// zoneMove returns the missing group seconds, and the fewest groups that serve, while a zone is out for two minutes and after its return.
func zoneMove(pol placer.Policy, zone string) (missing, fewest int) {
	const wanted = 6
	wor := newWorld(1, catalog(3, 2, 9, map[string]cataloger.Model{"scene": model(wanted, 4, 80)}))
	wor.pla.Policy = pol
	wor.until(600, func() bool { return len(wor.serving("scene")) == wanted })
	wor.setZonesOut(zone)
	fewest = wanted
	for second := range 240 {
		if second == 120 {
			wor.setZonesOut()
		}
		num := min(len(wor.serving("scene")), wanted)
		fewest = min(fewest, num)
		missing += wanted - num
		wor.tick()
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
					missing, num := zoneMove(pol.pol, zone)
					worst, fewest = max(worst, missing), min(fewest, num)
				}
			}
			b.ReportMetric(float64(worst), "worst_missing_group_s")
			b.ReportMetric(float64(fewest), "fewest_of_6")
			b.ReportMetric(0, "ns/op")
		})
	}
}
