package retrier_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/retrier"
)

var _ = Describe("Retrier", func() {
	budgets := []struct {
		name      string
		successes int
		want      int
	}{
		{"the burst initially", 0, 4},
		{"no more than the burst after some successes", 50, 4},
		{"no more than the burst after many successes", 1000, 4},
	}
	for _, tst := range budgets {
		It("allows "+tst.name, func() {
			ret := retrier.New(retrier.Options{Ratio: 0.2, Burst: 4})
			for range tst.successes {
				ret.Success()
			}
			Expect(drainBudget(ret)).To(Equal(tst.want))
		})
	}

	It("limits retries to the ratio of the successes", func() {
		ret := retrier.New(retrier.Options{Ratio: 0.2, Burst: 4})
		drainBudget(ret)
		total := 0
		for range 1000 {
			ret.Success()
			total += drainBudget(ret)
		}
		Expect(total).To(BeNumerically("~", 200, 1))
	})

	delays := []struct {
		attempt int
		bound   time.Duration
	}{{0, 100 * time.Millisecond}, {1, 200 * time.Millisecond}, {3, 800 * time.Millisecond}, {4, time.Second}, {1000, time.Second}}
	for _, tst := range delays {
		It("spreads the delay evenly below the bound "+tst.bound.String(), func() {
			ret := retrier.New(retrier.Options{Base: 100 * time.Millisecond, Max: time.Second, Seed: 1})
			var sum time.Duration
			for range 1000 {
				del := ret.Backoff(tst.attempt)
				Expect(del).To(And(BeNumerically(">=", 0), BeNumerically("<", tst.bound)))
				sum += del
			}
			Expect(sum / 1000).To(BeNumerically("~", tst.bound/2, tst.bound/20))
		})
	}
})

func drainBudget(ret *retrier.Retrier) int {
	num := 0
	for ret.Allow() {
		num++
	}
	return num
}
