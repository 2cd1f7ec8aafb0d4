package placer_test

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}

// free returns num free VMs of a domain.
func free(zone, domain string, num, accelerators int) []placer.Candidate {
	var out []placer.Candidate
	for pos := range num {
		out = append(out, placer.Candidate{Name: fmt.Sprintf("%s-%d", domain, pos), Zone: zone, Domain: domain, Accelerators: accelerators})
	}
	return out
}

func join(parts ...[]placer.Candidate) []placer.Candidate {
	var out []placer.Candidate
	for _, part := range parts {
		out = append(out, part...)
	}
	return out
}

func marked(cans []placer.Candidate, mark func(*placer.Candidate)) []placer.Candidate {
	for pos := range cans {
		mark(&cans[pos])
	}
	return cans
}

var four = placer.Need{VMs: 4, AcceleratorsEach: 8}

var choices = []struct {
	what   string
	cans   []placer.Candidate
	zones  map[string]int
	domain string
	fails  bool
}{
	{what: "the domain that it fills", cans: join(free("z1", "a", 7, 8), free("z1", "b", 4, 8)), domain: "b"},
	{what: "the zone with fewer groups of the model", cans: join(free("z1", "a", 4, 8), free("z2", "b", 7, 8)), zones: map[string]int{"z1": 1}, domain: "b"},
	{what: "the VMs that fit most closely", cans: join(free("z1", "a", 4, 16), free("z1", "b", 4, 8)), domain: "b"},
	{what: "no VM that leaves", cans: join(marked(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.Leaving = true }), free("z1", "b", 9, 8)), domain: "b"},
	{what: "no unhealthy VM", cans: join(marked(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.Unhealthy = true }), free("z1", "b", 9, 8)), domain: "b"},
	{what: "no suspected VM", cans: join(marked(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.Suspected = true }), free("z1", "b", 9, 8)), domain: "b"},
	{what: "no VM in a zone that is out", cans: join(marked(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.ZoneOut = true }), free("z2", "b", 9, 8)), domain: "b"},
	{what: "no group over two domains", cans: join(free("z1", "a", 3, 8), free("z1", "b", 3, 8)), fails: true},
	{what: "no VM with too few accelerators", cans: free("z1", "a", 4, 4), fails: true},
}

var counts = []struct {
	what     string
	vms      []int
	models   map[string]cataloger.Model
	stranded int
}{
	{"whole groups only", []int{8, 8, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8)}, 0},
	{"a rest", []int{8, 8, 8, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8)}, 8},
	{"two shapes that fill", []int{8, 8, 8, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8), "n": shape(3, 8)}, 0},
	{"small VMs that fit nothing", []int{4, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8)}, 4},
	{"large VMs that stand in for small ones", []int{4, 4, 8, 8}, map[string]cataloger.Model{"m": shape(4, 4)}, 0},
	{"large VMs that are needed for two shapes", []int{4, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8), "n": shape(2, 4)}, 4},
}

func shape(vms, accelerators int) cataloger.Model {
	return cataloger.Model{VMsPerReplica: vms, AcceleratorsEach: accelerators}
}

var _ = Describe("Place", func() {
	for _, cho := range choices {
		It("takes "+cho.what, func() {
			plc, err := placer.Place(placer.Request{Model: "m", Need: four, Candidates: cho.cans, ZoneGroups: cho.zones, Needs: []placer.Need{four}})
			if cho.fails {
				Expect(errors.Is(err, errors.QuotaLimitExceeded)).To(BeTrue())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(plc.Domain).To(Equal(cho.domain))
			Expect(plc.VMs).To(HaveLen(4))
		})
	}
})

var _ = Describe("Stranded", func() {
	for _, cou := range counts {
		It("counts "+cou.what, func() {
			vms := map[string]cataloger.VM{}
			for pos, acc := range cou.vms {
				vms[fmt.Sprint(pos)] = cataloger.VM{Domain: "a", Worker: cataloger.WorkerEngine, Accelerators: acc}
			}
			vie := &reducer.View{Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{VMs: vms, Models: cou.models}}}
			Expect(placer.Stranded(vie)).To(Equal(cou.stranded))
		})
	}
})
