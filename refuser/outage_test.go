package refuser_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/refuser"
)

var _ = Describe("OutageRetryAfter", func() {
	It("is the default for callers that name no timeout", func() {
		Expect(refuser.OutageRetryAfter(0, 0.5)).To(Equal(refuser.DefaultRetryAfter))
	})

	// 500 callers a second come while no entry knows a configuration for 1.5 s; each comes back once.
	It("has callers that come back once return after an outage of 1.5 s, spread over a second", func() {
		const outage, timeout, interval = 1500 * time.Millisecond, 6 * time.Second, 2 * time.Millisecond
		rng := rand.New(rand.NewPCG(1, 2))
		play := func(delay func() time.Duration) (served, busiest int) {
			perInterval := map[time.Duration]int{}
			for at := time.Duration(0); at < outage; at += interval {
				back := at + delay()
				if back < outage {
					continue
				}
				served++
				perInterval[back.Truncate(100*time.Millisecond)]++
			}
			for _, num := range perInterval {
				busiest = max(busiest, num)
			}
			return served, busiest
		}
		served, _ := play(func() time.Duration { return refuser.DefaultRetryAfter })
		Expect(served).To(Equal(500))
		served, busiest := play(func() time.Duration { return refuser.OutageRetryAfter(timeout, rng.Float64()) })
		Expect(served).To(BeNumerically(">", 600))
		// As many as come in the same time while all is well.
		Expect(busiest).To(BeNumerically("<=", 60))
	})
})
