package budgeter_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/budgeter"
)

const (
	window = 10 * time.Second
	ratio  = 0.2
	slack  = 105.0
)

// newLone returns the budgeter of the only entry, which has run for a window.
func newLone(opt budgeter.Options, clk *clockwork.FakeClock) *budgeter.Budgeter {
	opt.Window, opt.Clock = window, clk
	bud := budgeter.New(opt)
	bud.SetEntries(1)
	clk.Advance(window)
	return bud
}

// fleet plays entries that retry whenever they may, and checks the retries in any window.
type fleet struct {
	clk      *clockwork.FakeClock
	buds     []*budgeter.Budgeter
	unknown  []int
	requests []float64
	retries  []float64
}

const (
	fleetStep = 100 * time.Millisecond
	// sweepSteps is how many steps after its start an entry learns how many others there are.
	sweepSteps = 10
)

func (fle *fleet) start(num int) {
	fle.buds[num] = budgeter.New(budgeter.Options{Ratio: ratio, Slack: slack, Window: window, Clock: fle.clk})
	fle.unknown[num] = sweepSteps
}

// play plays some steps in which each entry gets a request in every second one, and may retry as often as allowed; registered is how many entries there are as each of them knows.
func (fle *fleet) play(steps, registered int, retry bool) {
	for range steps {
		requests, retries := 0.0, 0.0
		for num, bud := range fle.buds {
			if bud == nil {
				continue
			}
			if fle.unknown[num]--; fle.unknown[num] < 0 && fle.unknown[num]%sweepSteps == 0 {
				bud.SetEntries(registered)
			}
			if len(fle.requests)%2 == 0 {
				bud.RecordRequest("s")
				requests++
			}
			for retry && bud.Allow("s") {
				retries++
			}
		}
		fle.requests, fle.retries = append(fle.requests, requests), append(fle.retries, retries)
		fle.clk.Advance(fleetStep)
	}
}

// excess returns the largest number of retries beyond the budget in any window. The requests are those of that window or of the one before.
func (fle *fleet) excess() float64 {
	const span = int(window / fleetStep)
	sum := func(list []float64, from int) float64 {
		out := 0.0
		for num := max(0, from); num < from+span; num++ {
			out += list[num]
		}
		return out
	}
	out := -slack
	for from := 0; from+span <= len(fle.retries); from++ {
		requests := max(sum(fle.requests, from), sum(fle.requests, from-span))
		out = max(out, sum(fle.retries, from)-ratio*requests-slack)
	}
	return out
}

var _ = Describe("Budgeter of entries that start and leave", func() {
	for _, entries := range []int{7, 23, 74, 390} {
		It(fmt.Sprintf("keeps the budget of %d entries while most are killed together, others leave and all come back", entries), func() {
			fle := &fleet{clk: clockwork.NewFakeClock(), buds: make([]*budgeter.Budgeter, entries), unknown: make([]int, entries)}
			for num := range entries {
				fle.start(num)
			}
			fle.play(250, entries, false)
			fle.play(1, entries, true)
			Expect(fle.retries).To(ContainElement(BeNumerically(">", slack/4)))
			leaving := entries / 5
			for num := range leaving {
				fle.buds[num] = nil
			}
			fle.play(30, entries-leaving, true)
			for range 3 {
				for num := leaving; num < entries*4/5; num++ {
					fle.start(num)
				}
				fle.play(15, entries-leaving, true)
			}
			for num := range leaving {
				fle.start(num)
			}
			fle.play(250, entries, true)
			Expect(fle.excess()).To(BeNumerically("<=", 0))
		})
	}

	It("grants no slack until the number of entries is known", func() {
		clk := clockwork.NewFakeClock()
		bud := budgeter.New(budgeter.Options{Slack: slack, Window: window, Clock: clk})
		clk.Advance(2 * window)
		Expect(bud.Allow("s")).To(BeFalse())
		bud.SetEntries(7)
		clk.Advance(window / 5)
		Expect(bud.Allow("s")).To(BeTrue())
	})
})

var _ = Describe("Budgeter", func() {
	DescribeTable("keeps the retries of all entries within the budget in any window",
		func(entries, perSecond int) {
			clk := clockwork.NewFakeClock()
			var all []*budgeter.Budgeter
			for range entries {
				bud := budgeter.New(budgeter.Options{Ratio: ratio, Slack: slack, Window: window, Clock: clk})
				bud.SetEntries(entries)
				all = append(all, bud)
			}
			const step = 100 * time.Millisecond
			var requests, retries []int
			for range 400 {
				sent, allowed := 0, 0
				for _, bud := range all {
					for range perSecond / 10 {
						bud.RecordRequest("s")
						sent++
						for bud.Allow("s") {
							allowed++
						}
					}
				}
				requests, retries = append(requests, sent), append(retries, allowed)
				clk.Advance(step)
			}
			const span = int(window / step)
			for from := 0; from+span <= len(requests); from++ {
				sent, allowed := 0, 0
				for num := from; num < from+span; num++ {
					sent += requests[num]
					allowed += retries[num]
				}
				Expect(float64(allowed)).To(BeNumerically("<=", ratio*float64(sent)+slack))
			}
		},
		Entry("one entry", 1, 20),
		Entry("seven entries", 7, 30),
		Entry("many entries, few requests", 74, 10),
	)

	It("keeps a separate budget for each service", func() {
		bud := newLone(budgeter.Options{Ratio: 0, Slack: 3}, clockwork.NewFakeClock())
		Expect(bud.Allow("a")).To(BeTrue())
		Expect(bud.Allow("a")).To(BeFalse())
		Expect(bud.Allow("b")).To(BeTrue())
	})

	It("frees the budget after the window, whatever the time of day", func() {
		clk := clockwork.NewFakeClock()
		bud := newLone(budgeter.Options{Ratio: 0, Slack: 3}, clk)
		Expect(bud.Allow("a")).To(BeTrue())
		clk.Advance(window + time.Second)
		Expect(bud.Allow("a")).To(BeTrue())
	})
})

var _ = Describe("Budgeter with returned retries", func() {
	It("grants a returned retry again, and no more than that", func() {
		clk := clockwork.NewFakeClock()
		bud := newLone(budgeter.Options{Slack: 5}, clk)
		granted := 0
		for bud.Allow("s") {
			granted++
		}
		bud.Return("s")
		clk.Advance(time.Second)
		Expect(bud.Allow("s")).To(BeTrue())
		Expect(bud.Allow("s")).To(BeFalse())
		for range granted + 3 {
			bud.Return("s")
		}
		again := 0
		for bud.Allow("s") {
			again++
		}
		Expect(again).To(Equal(granted))
	})
})
