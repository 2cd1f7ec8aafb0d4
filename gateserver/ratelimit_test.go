package gateserver_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Server before a backend server that names a rate limit", func() {
	It("sends it no more requests a second, and refuses at once what it cannot take in time", func() {
		const perSecond, window = 4, 3 * time.Second
		scr := newScripted(nil)
		scr.answer(http.StatusOK, "Server-Limit", "4.0")
		scr.call()
		before := scr.got.Load()
		began := time.Now()
		var refused atomic.Int64
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for time.Since(began) < window {
					asked := time.Now()
					if res := scr.call(); res.StatusCode == http.StatusServiceUnavailable {
						refused.Add(1)
						Expect(time.Since(asked)).To(BeNumerically("<", 200*time.Millisecond))
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		got := float64(scr.got.Load() - before)
		Expect(got).To(BeNumerically("<=", perSecond*window.Seconds()+2))
		Expect(got).To(BeNumerically(">=", 0.8*perSecond*window.Seconds()-2))
		Expect(refused.Load()).To(BeNumerically(">", 0))
		scr.answer(http.StatusOK)
		Eventually(func() int { return scr.call().StatusCode }, "2s", "50ms").Should(Equal(http.StatusOK))
		Consistently(func() int { return scr.call().StatusCode }, "500ms", "10ms").Should(Equal(http.StatusOK))
	})
})
