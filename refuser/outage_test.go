package refuser_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/refuser"
)

var _ = Describe("OutageRetryAfter", func() {
	It("is the default for callers that name no timeout", func() {
		Expect(refuser.OutageRetryAfter(0)).To(Equal(refuser.DefaultRetryAfter))
	})

	// 500 callers a second come while no entry knows a configuration for 2 s; each comes back once.
	It("has callers that come back once return after an outage of 2 s", func() {
		const outage, timeout, interval = 2 * time.Second, 6 * time.Second, 2 * time.Millisecond
		served := func(delay time.Duration) (num int) {
			for at := time.Duration(0); at < outage; at += interval {
				if at+delay >= outage {
					num++
				}
			}
			return num
		}
		Expect(served(refuser.DefaultRetryAfter)).To(Equal(500))
		Expect(served(refuser.OutageRetryAfter(timeout))).To(Equal(1000))
	})
})
