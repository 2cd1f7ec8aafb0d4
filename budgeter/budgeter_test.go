package budgeter_test

import (
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
		bud := budgeter.New(budgeter.Options{Ratio: 0, Slack: 2, Window: window, Clock: clockwork.NewFakeClock()})
		Expect(bud.Allow("a")).To(BeTrue())
		Expect(bud.Allow("a")).To(BeFalse())
		Expect(bud.Allow("b")).To(BeTrue())
	})

	It("frees the budget after the window, whatever the time of day", func() {
		clk := clockwork.NewFakeClock()
		bud := budgeter.New(budgeter.Options{Ratio: 0, Slack: 2, Window: window, Clock: clk})
		Expect(bud.Allow("a")).To(BeTrue())
		clk.Advance(window + time.Second)
		Expect(bud.Allow("a")).To(BeTrue())
	})
})

var _ = Describe("Budgeter with returned retries", func() {
	It("grants a returned retry again, and no more than that", func() {
		clk := clockwork.NewFakeClock()
		bud := budgeter.New(budgeter.Options{Slack: 5, Window: 10 * time.Second, Clock: clk})
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
