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

func concat(parts ...[]placer.Candidate) []placer.Candidate {
	var out []placer.Candidate
	for _, part := range parts {
		out = append(out, part...)
	}
	return out
}

func modified(cans []placer.Candidate, modify func(*placer.Candidate)) []placer.Candidate {
	for pos := range cans {
		modify(&cans[pos])
	}
	return cans
}

var fourVMs = placer.GroupShape{VMs: 4, AcceleratorsEach: 8}

var placeCases = []struct {
	name   string
	cans   []placer.Candidate
	zones  map[string]int
	domain string
	fails  bool
}{
	{name: "the domain that the group fills", cans: concat(free("z1", "a", 7, 8), free("z1", "b", 4, 8)), domain: "b"},
	{name: "the zone with fewer groups of the model", cans: concat(free("z1", "a", 4, 8), free("z2", "b", 7, 8)), zones: map[string]int{"z1": 1}, domain: "b"},
	{name: "the VMs with the fewest excess accelerators", cans: concat(free("z1", "a", 4, 16), free("z1", "b", 4, 8)), domain: "b"},
	{name: "no VM that is leaving", cans: concat(modified(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.Leaving = true }), free("z1", "b", 9, 8)), domain: "b"},
	{name: "no unhealthy VM", cans: concat(modified(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.Unhealthy = true }), free("z1", "b", 9, 8)), domain: "b"},
	{name: "no suspected VM", cans: concat(modified(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.Suspected = true }), free("z1", "b", 9, 8)), domain: "b"},
	{name: "no VM in a zone that is out of service", cans: concat(modified(free("z1", "a", 4, 8), func(can *placer.Candidate) { can.ZoneOut = true }), free("z2", "b", 9, 8)), domain: "b"},
	{name: "no group across two domains", cans: concat(free("z1", "a", 3, 8), free("z1", "b", 3, 8)), fails: true},
	{name: "no VM with too few accelerators", cans: free("z1", "a", 4, 4), fails: true},
}

var strandedCases = []struct {
	name     string
	vms      []int
	models   map[string]cataloger.Model
	stranded int
}{
	{"nothing when whole groups use all VMs", []int{8, 8, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8)}, 0},
	{"the VMs left over from whole groups", []int{8, 8, 8, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8)}, 8},
	{"nothing when groups of two shapes use all VMs", []int{8, 8, 8, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8), "n": shape(3, 8)}, 0},
	{"VMs that are too small for any model", []int{4, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8)}, 4},
	{"nothing when large VMs replace small ones", []int{4, 4, 8, 8}, map[string]cataloger.Model{"m": shape(4, 4)}, 0},
	{"the small VM when the large VMs fit two shapes", []int{4, 8, 8}, map[string]cataloger.Model{"m": shape(2, 8), "n": shape(2, 4)}, 4},
}

func shape(vms, accelerators int) cataloger.Model {
	return cataloger.Model{VMsPerReplica: vms, AcceleratorsPerVM: accelerators}
}

var _ = Describe("Place", func() {
	for _, cho := range placeCases {
		It("takes "+cho.name, func() {
			plc, err := placer.Place(placer.Request{Model: "m", Shape: fourVMs, Candidates: cho.cans, ZoneGroups: cho.zones, Shapes: []placer.GroupShape{fourVMs}})
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
	for _, cou := range strandedCases {
		It("counts "+cou.name, func() {
			vms := map[string]cataloger.VM{}
			for pos, acc := range cou.vms {
				vms[fmt.Sprint(pos)] = cataloger.VM{Domain: "a", WorkerKind: cataloger.WorkerEngine, Accelerators: acc}
			}
			vie := &reducer.View{Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{VMs: vms, Models: cou.models}}}
			Expect(placer.Stranded(vie)).To(Equal(cou.stranded))
		})
	}
})
