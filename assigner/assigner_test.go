package assigner_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/assigner"
)

func TestAssigner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assigner")
}

func candidates(count int) []assigner.Candidate {
	var out []assigner.Candidate
	for num := range count {
		zone := fmt.Sprintf("z%d", num%3)
		out = append(out, assigner.Candidate{Name: fmt.Sprintf("e%d", num), Zone: zone, Region: "r" + zone[1:2]})
	}
	return out
}

// countMoves counts the subjects that are assigned to another candidate when one candidate is removed.
func countMoves(count, subjects int) int {
	all := candidates(count)
	before, after := assigner.NewPool(all), assigner.NewPool(all[1:])
	moved := 0
	for num := range subjects {
		subject := fmt.Sprintf("unit-%d", num)
		one, _ := before.Pick(subject, "", "")
		two, _ := after.Pick(subject, "", "")
		if one != two {
			moved++
		}
	}
	return moved
}

var _ = Describe("Pool", func() {
	near := []struct {
		name         string
		zone, region string
		want         func(can assigner.Candidate) bool
	}{
		{"prefers the availability zone", "z1", "r2", func(can assigner.Candidate) bool { return can.Zone == "z1" }},
		{"falls back to the region", "none", "r2", func(can assigner.Candidate) bool { return can.Region == "r2" }},
		{"falls back to any candidate", "none", "none", func(assigner.Candidate) bool { return true }},
	}
	for _, row := range near {
		It(row.name, func() {
			can, found := assigner.NewPool(candidates(7)).Pick("unit", row.zone, row.region)
			Expect(found).To(BeTrue())
			Expect(row.want(can)).To(BeTrue())
		})
	}

	It("returns false for an empty pool", func() {
		_, found := assigner.NewPool(nil).Pick("unit", "", "")
		Expect(found).To(BeFalse())
	})

	It("does not depend on the order of the candidates", func() {
		all := candidates(7)
		rotated := append(append([]assigner.Candidate{}, all[3:]...), all[:3]...)
		for num := range 100 {
			subject := fmt.Sprintf("unit-%d", num)
			one, _ := assigner.NewPool(all).Pick(subject, "", "")
			two, _ := assigner.NewPool(rotated).Pick(subject, "", "")
			Expect(one).To(Equal(two))
		}
	})

	It("moves only the subjects of the removed candidate", func() {
		all := candidates(7)
		before, after := assigner.NewPool(all), assigner.NewPool(all[1:])
		for num := range 500 {
			subject := fmt.Sprintf("unit-%d", num)
			one, _ := before.Pick(subject, "", "")
			two, _ := after.Pick(subject, "", "")
			if one.Name != all[0].Name {
				Expect(two).To(Equal(one))
			}
		}
	})
})

// BenchmarkMoves reports how many subjects move when one entry is removed, relative to an even share of the subjects.
func BenchmarkMoves(b *testing.B) {
	for _, count := range []int{7, 390} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			moved := 0
			for b.Loop() {
				moved = countMoves(count, 10_000)
			}
			b.ReportMetric(float64(moved*count)/10_000, "even-shares")
		})
	}
}

// BenchmarkPick measures Pick with as many entries as one availability zone has and with all entries.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{7, 39, 390} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			poo := assigner.NewPool(candidates(count))
			for b.Loop() {
				poo.Pick("unit", "", "")
			}
		})
	}
}
