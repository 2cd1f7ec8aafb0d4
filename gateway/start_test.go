package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load: callers that come right after a loss of power everywhere, before any entry knows a configuration.
var _ = Describe("A request before the first configuration", func() {
	It("is served once the configuration is known, if no other entry can serve it", func() {
		wor := newWorld(unsafe, newWorker(whole(200, "ok")))
		wor.isolated.Store(true)
		tab := wor.tab.Swap(nil)
		time.AfterFunc(200*time.Millisecond, func() {
			wor.tab.Store(tab)
			close(wor.started)
		})
		Expect(wor.call(context.Background()).status).To(Equal(200))
	})

	It("is refused within a third of its timeout if the configuration stays unknown", func() {
		wor := newWorld(unsafe, newWorker(whole(200, "ok")))
		wor.isolated.Store(true)
		wor.tab.Store(nil)
		began := time.Now()
		res := wor.call(context.Background(), "X-Within", "1200")
		Expect(time.Since(began)).To(And(BeNumerically(">=", 190*time.Millisecond), BeNumerically("<", 700*time.Millisecond)))
		Expect(res.status).To(Equal(503))
		Expect(res.head.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is refused at once if another entry can serve it", func() {
		wor := newWorld(unsafe, newWorker(whole(200, "ok")))
		wor.tab.Store(nil)
		began := time.Now()
		res := wor.call(context.Background())
		Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond))
		Expect(res.status).To(Equal(503))
		Expect(res.head.Get("Retry-After")).To(Equal("0.020"))
	})
})
