package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	workers      = 1200
	accelerators = 5000
)

// inventory distributes the workers and accelerators over 3 zones in domains of random sizes.
func inventory(rng *rand.Rand) map[string]cataloger.VM {
	vms := map[string]cataloger.VM{}
	large := (accelerators - 4*workers) / 4
	for dom := 0; len(vms) < workers; dom++ {
		zone := fmt.Sprintf("z%d", dom%3)
		size := min(10+rng.IntN(40), workers-len(vms))
		for range size {
			acc := 4
			if rng.IntN(workers-len(vms)) < large {
				acc = 8
				large--
			}
			name := fmt.Sprintf("v%04d", len(vms))
			vms[name] = cataloger.VM{Zone: zone, Domain: fmt.Sprintf("d%02d", dom), WorkerKind: cataloger.WorkerEngine, Accelerators: acc}
		}
	}
	return vms
}

var mixes = []struct {
	name   string
	models map[string]cataloger.Model
}{
	{"32", map[string]cataloger.Model{"a": shape(8, 4)}},
	{"8-32", map[string]cataloger.Model{"a": shape(8, 4), "b": shape(2, 4)}},
	{"4-8-32", map[string]cataloger.Model{"a": shape(8, 4), "b": shape(2, 4), "c": shape(1, 4)}},
	{"12-32", map[string]cataloger.Model{"a": shape(8, 4), "b": shape(3, 4)}},
}

var policies = []struct {
	name string
	pol  placer.Policy
}{
	{"best_fit", placer.BestFit{}},
	{"first_fit", placer.FirstFit{}},
	{"spread_only", placer.SpreadOnly{}},
}

// fleet is an inventory with the groups that a policy has placed.
type fleet struct {
	vie          *reducer.View
	groups       map[string]placer.Placement
	modelByGroup map[string]string
	lastID       int
}

func newFleet(vms map[string]cataloger.VM, models map[string]cataloger.Model) *fleet {
	return &fleet{
		vie: &reducer.View{
			GroupByVM: map[string]string{},
			Catalog:   cataloger.Catalog{Inventory: cataloger.Inventory{VMs: vms, Models: models}},
		},
		groups: map[string]placer.Placement{}, modelByGroup: map[string]string{},
	}
}

func (fle *fleet) request(model string) placer.Request {
	inv := fle.vie.Catalog.Inventory
	mod := inv.Models[model]
	req := placer.Request{
		Model: model, Shape: placer.GroupShape{VMs: mod.VMsPerReplica, AcceleratorsEach: mod.AcceleratorsPerVM},
		ZoneGroups: map[string]int{}, Shapes: placer.GroupShapes(inv.Models),
	}
	for name, vm := range inv.VMs {
		if fle.vie.GroupByVM[name] == "" {
			req.Candidates = append(req.Candidates, placer.Candidate{Name: name, Zone: vm.Zone, Domain: vm.Domain, Accelerators: vm.Accelerators})
		}
	}
	for name, plc := range fle.groups {
		if fle.modelByGroup[name] == model {
			req.ZoneGroups[plc.Zone]++
		}
	}
	return req
}

func (fle *fleet) add(pol placer.Policy, model string) bool {
	plc, err := pol.Place(fle.request(model))
	if err != nil {
		return false
	}
	fle.lastID++
	name := fmt.Sprint(fle.lastID)
	fle.groups[name], fle.modelByGroup[name] = plc, model
	for _, vm := range plc.VMs {
		fle.vie.GroupByVM[vm] = name
	}
	return true
}

func (fle *fleet) remove(name string) {
	for _, vm := range fle.groups[name].VMs {
		delete(fle.vie.GroupByVM, vm)
	}
	delete(fle.groups, name)
	delete(fle.modelByGroup, name)
}

// churn runs the same sequence of arrivals and departures for each policy at about 97% utilization and counts the refused groups.
func (fle *fleet) churn(pol placer.Policy, seed uint64) (refused, requested int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var models, live []string
	for name := range fle.vie.Catalog.Inventory.Models {
		models = append(models, name)
	}
	for range 800 {
		if len(fle.vie.GroupByVM)*100 > workers*97 && len(live) > 0 {
			pos := rng.IntN(len(live))
			fle.remove(live[pos])
			live = append(live[:pos], live[pos+1:]...)
			continue
		}
		requested++
		if fle.add(pol, pickModel(rng, models)) {
			live = append(live, fmt.Sprint(fle.lastID))
		} else {
			refused++
		}
	}
	return refused, requested
}

// pickModel selects models so that each shape is requested for about the same number of accelerators.
func pickModel(rng *rand.Rand, models []string) string {
	if len(models) == 1 || rng.IntN(4) == 0 {
		return "a"
	}
	return []string{"b", "c"}[rng.IntN(len(models)-1)]
}

// zoneLoss returns the largest share of a model's groups in one zone, averaged over the models.
func (fle *fleet) zoneLoss() float64 {
	sum, num := 0.0, 0
	for model := range fle.vie.Catalog.Inventory.Models {
		largest, total := 0, 0
		for _, count := range fle.request(model).ZoneGroups {
			largest, total = max(largest, count), total+count
		}
		if total > 0 {
			sum, num = sum+float64(largest)/float64(total), num+1
		}
	}
	return sum / float64(max(num, 1))
}

func BenchmarkPlace(b *testing.B) {
	for _, mix := range mixes {
		for _, pol := range policies {
			b.Run(mix.name+"/"+pol.name, func(b *testing.B) {
				req := newFleet(inventory(rand.New(rand.NewPCG(1, 1))), mix.models).request("a")
				for b.Loop() {
					if _, err := pol.pol.Place(req); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkStrandedShare(b *testing.B) {
	const seeds = 10
	for _, mix := range mixes {
		for _, pol := range policies {
			b.Run(mix.name+"/"+pol.name, func(b *testing.B) {
				b.Logf("seeds 1 to %d", seeds)
				stranded, loss := 0.0, 0.0
				refused, requested := 0, 0
				for b.Loop() {
					stranded, loss, refused, requested = 0, 0, 0, 0
					for seed := uint64(1); seed <= seeds; seed++ {
						fle := newFleet(inventory(rand.New(rand.NewPCG(seed, 1))), mix.models)
						rejected, total := fle.churn(pol.pol, seed)
						refused, requested = refused+rejected, requested+total
						stranded += float64(placer.Stranded(fle.vie)) / accelerators / seeds
						loss += fle.zoneLoss() / seeds
					}
				}
				b.ReportMetric(100*stranded, "stranded_%")
				b.ReportMetric(100*float64(refused)/float64(requested), "refused_%")
				b.ReportMetric(100*loss, "zone_loss_%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
