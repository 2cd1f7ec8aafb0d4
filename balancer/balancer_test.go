package balancer_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/balancer"
)

type stubBreaker map[string]bool

func (bre stubBreaker) IsOpen(unit string) bool { return bre[unit] }

func units(num int) []balancer.Candidate {
	out := make([]balancer.Candidate, num)
	for idx := range out {
		out[idx] = balancer.Candidate{Unit: fmt.Sprint("u", idx), Limit: 8, Warm: true, Fresh: true}
	}
	return out
}

var _ = Describe("Balancer", func() {
	cases := []struct {
		name   string
		change func([]balancer.Candidate)
		tried  map[string]bool
		open   stubBreaker
		want   string
	}{
		{"the less loaded one", func(cands []balancer.Candidate) { cands[0].Queued = 1 }, nil, nil, "u1"},
		{"the less loaded one relative to its limit", func(cands []balancer.Candidate) {
			cands[0].Running, cands[0].Limit, cands[1].Running = 5, 32, 4
		}, nil, nil, "u0"},
		{"one that was not tried yet", func(cands []balancer.Candidate) { cands[1].Running = 8 }, map[string]bool{"u0": true}, nil, "u1"},
		{"one that was tried as a last resort", nil, map[string]bool{"u0": true}, stubBreaker{"u1": true}, "u0"},
		{"one with a closed circuit", func(cands []balancer.Candidate) { cands[1].Running = 8 }, nil, stubBreaker{"u0": true}, "u1"},
		{"one with a fresh load", func(cands []balancer.Candidate) { cands[0].Fresh, cands[1].Running = false, 8 }, nil, nil, "u1"},
		{"a warm one at the same load", func(cands []balancer.Candidate) { cands[0].Warm = false }, nil, nil, "u1"},
		{"one in the same availability zone at the same load", func(cands []balancer.Candidate) { cands[1].Zone = "z" }, nil, nil, "u1"},
		{"none when all circuits are open", nil, nil, stubBreaker{"u0": true, "u1": true}, ""},
	}
	for _, tst := range cases {
		It("picks "+tst.name, func() {
			bal := balancer.New(tst.open, 1)
			for range 50 {
				cands := units(2)
				if tst.change != nil {
					tst.change(cands)
				}
				can, found := bal.Pick(balancer.Request{Zone: "z", Tried: tst.tried}, cands)
				Expect(can.Unit).To(Equal(tst.want))
				Expect(found).To(Equal(tst.want != ""))
			}
		})
	}

	It("sends a prefix to the same unit after another unit is removed", func() {
		bal := balancer.New(nil, 1)
		for num := range 100 {
			req := balancer.Request{Prefix: balancer.Prefix(fmt.Sprint("prompt ", num))}
			can, _ := bal.Pick(req, units(10))
			if can.Unit == "u9" {
				continue
			}
			again, _ := bal.Pick(req, units(9))
			Expect(again.Unit).To(Equal(can.Unit))
		}
	})

	It("derives the affinity key from the start of the prompt", func() {
		begin := strings.Repeat("x", balancer.PrefixBytes)
		Expect(balancer.Prefix(begin + "a")).To(Equal(balancer.Prefix(begin + "b")))
		Expect(balancer.Prefix("a")).NotTo(Equal(balancer.Prefix("b")))
	})

	It("keeps the load of every unit near the bound when all requests have the same prefix", func() {
		cands := units(10)
		bal := balancer.New(nil, 1)
		for range 60 {
			can, _ := bal.Pick(balancer.Request{Prefix: "hot"}, cands)
			for idx := range cands {
				if cands[idx].Unit == can.Unit {
					cands[idx].Running++
				}
			}
		}
		for _, can := range cands {
			Expect(can.Running).To(And(BeNumerically(">=", 3), BeNumerically("<=", 9)), can.Unit)
		}
	})

	It("picks the units in turn with the round-robin baseline", func() {
		rob := balancer.NewRoundRobin()
		for num := range 6 {
			can, _ := rob.Pick(balancer.Request{}, units(3))
			Expect(can.Unit).To(Equal(fmt.Sprint("u", num%3)))
		}
	})
})

func BenchmarkPick40(ben *testing.B) {
	bal, cands := balancer.New(nil, 1), units(40)
	for ben.Loop() {
		bal.Pick(balancer.Request{Prefix: "hot", Zone: "z"}, cands)
	}
}
