package spiller_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/spiller"
)

var _ = Describe("Spiller", func() {
	const ms = time.Millisecond
	away := func(first, crossing time.Duration) spiller.Zone {
		return spiller.Zone{Name: "y", First: first, Crossing: crossing, Units: 2}
	}
	cases := []struct {
		name   string
		que    spiller.Question
		leaves bool
		reason spiller.Reason
	}{
		{"the own zone keeps the objective", spiller.Question{Home: 150 * ms, Left: 400 * ms, Away: []spiller.Zone{away(50*ms, ms)}}, false, spiller.Enough},
		{"the own zone is short and another has room", spiller.Question{Home: 900 * ms, Left: 400 * ms, Away: []spiller.Zone{away(120*ms, ms)}}, true, spiller.Gain},
		{"the other zone is short", spiller.Question{Home: 900 * ms, Left: 400 * ms, Away: []spiller.Zone{away(390*ms, ms)}}, false, spiller.NoGain},
		{"the other zone is as slow", spiller.Question{Home: 300 * ms, Left: 400 * ms, Away: []spiller.Zone{away(295*ms, ms)}}, false, spiller.NoGain},
		{"the crossing takes what the other zone gains", spiller.Question{Home: 300 * ms, Left: 400 * ms, Away: []spiller.Zone{away(120*ms, 200*ms)}}, false, spiller.NoGain},
		{"no objective known, another zone is faster", spiller.Question{Home: 900 * ms, Away: []spiller.Zone{away(120*ms, ms)}}, true, spiller.Gain},
		{"no other zone", spiller.Question{Home: 900 * ms, Left: 400 * ms}, false, spiller.NoGain},
	}
	for _, cas := range cases {
		It("decides: "+cas.name, func() {
			clk := clockwork.NewFakeClock()
			spi := spiller.New(clk)
			left := 0
			for num := range 200 {
				clk.Advance(20 * ms)
				if spi.Choose(cas.que, float64(num%20)/20) == "y" {
					left++
				}
			}
			share, reason := spi.Share()
			Expect(left > 0).To(Equal(cas.leaves))
			Expect(share > 0).To(Equal(cas.leaves))
			Expect(reason).To(Equal(cas.reason))
		})
	}

	It("prefers the zone that gains more, and never one that has no room", func() {
		clk := clockwork.NewFakeClock()
		spi := spiller.New(clk)
		que := spiller.Question{Home: 900 * ms, Left: 400 * ms, Away: []spiller.Zone{
			{Name: "near", First: 100 * ms, Units: 2}, {Name: "slow", First: 250 * ms, Units: 2}, {Name: "short", First: 800 * ms, Units: 20},
		}}
		count := map[string]int{}
		for num := range 2000 {
			clk.Advance(20 * ms)
			count[spi.Choose(que, float64(num%97)/97)]++
		}
		Expect(count["near"]).To(BeNumerically(">", count["slow"]))
		Expect(count["slow"]).To(BeNumerically(">", 0))
		Expect(count["short"]).To(BeZero())
	})

	It("begins with a share and not with all requests when the own zone is slightly late", func() {
		spi := spiller.New(clockwork.NewFakeClock())
		spi.Choose(spiller.Question{Home: 260 * ms, Left: 400 * ms, LoadAge: 200 * ms, Away: []spiller.Zone{away(100*ms, ms)}}, 0)
		share, _ := spi.Share()
		Expect(share).To(And(BeNumerically(">", 0), BeNumerically("<", 0.2)))
	})
})
