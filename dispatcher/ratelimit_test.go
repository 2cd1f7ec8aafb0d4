package dispatcher_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
)

// limitedFixture is a dispatcher before units whose servers limit the rate of requests.
type limitedFixture struct {
	*fixture
	lim *ratelimiter.RateLimiter
}

func newLimitedFixture(limited int, units ...dispatcher.Unit) *limitedFixture {
	clk := clockwork.NewFakeClock()
	lim := ratelimiter.New(clk)
	fix := &fixture{clk: clk, dis: dispatcher.New(dispatcher.Options{
		Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}), RateLimits: lim,
	})}
	fix.dis.SetUnits(units)
	for num := range limited {
		lim.Observe(units[num].Instance(), true, 2, clk.Now())
	}
	return &limitedFixture{fixture: fix, lim: lim}
}

func (fix *limitedFixture) grant(id string, num int, wait, interval time.Duration) {
	fix.lim.Receive(ratelimiter.Grant{Server: registrar.Instance{ID: id}, Count: num, Wait: wait, Interval: interval})
}

var _ = Describe("Dispatcher before servers that limit the rate of requests", func() {
	It("sends a request only with a permit, and takes one for each", func() {
		fix := newLimitedFixture(1, unit("a", "z", 4))
		_, err := fix.tryNow()
		Expect(err).To(HaveOccurred())
		fix.grant("a", 2, 0, time.Second)
		for range 2 {
			Expect(fix.tryNow()).To(Equal("a"))
		}
		_, err = fix.tryNow()
		Expect(err).To(HaveOccurred())
	})

	It("uses the units without a limit meanwhile", func() {
		fix := newLimitedFixture(1, unit("a", "z", 4), unit("b", "y", 4))
		for range 4 {
			Expect(fix.tryNow()).To(Equal("b"))
		}
	})

	It("gives a waiting request the permit that comes, a resumed one first", func() {
		fix := newLimitedFixture(1, unit("a", "z", 4))
		fix.grant("a", 0, 200*time.Millisecond, 200*time.Millisecond)
		one := fix.acquireAsync(fix.request("1"))
		Eventually(fix.waiting).Should(Equal(1))
		req := fix.request("2")
		req.Resumed = true
		two := fix.acquireAsync(req)
		Eventually(fix.waiting).Should(Equal(2))
		Expect(fix.dis.PermitDemand(nil)[registrar.Instance{ID: "a"}].Count).To(Equal(2))
		fix.grant("a", 1, time.Second, time.Second)
		fix.dis.DispatchWaiting()
		Eventually(two).Should(Receive(Not(BeNil())))
		Expect(one).NotTo(Receive())
	})

	cases := []struct {
		name string
		// waits are how long the owners say that this entry will wait for each server's next permit.
		waits   []time.Duration
		waiting int
		refused bool
	}{
		{"the only permit comes in time", []time.Duration{800 * time.Millisecond}, 0, false},
		{"the only permit comes too late for an owner that is a little late", []time.Duration{950 * time.Millisecond}, 0, true},
		{"the request before takes it", []time.Duration{800 * time.Millisecond}, 1, true},
		{"another server has one", []time.Duration{1100 * time.Millisecond, 500 * time.Millisecond}, 0, false},
		{"two of two are late", []time.Duration{1100 * time.Millisecond, 3 * time.Second}, 0, true},
	}
	for _, cas := range cases {
		It("refuses a request at once that no permit reaches in time: "+cas.name, func() {
			var units []dispatcher.Unit
			for num := range cas.waits {
				units = append(units, unit(fmt.Sprint("u", num), "z", 4))
			}
			fix := newLimitedFixture(len(units), units...)
			for num, wait := range cas.waits {
				fix.grant(fmt.Sprint("u", num), 0, wait, time.Second)
			}
			for num := range cas.waiting {
				fix.acquireAsync(fix.request(fmt.Sprint("w", num)))
				Eventually(fix.waiting).Should(Equal(num + 1))
			}
			got := make(chan error, 1)
			go func() {
				_, err := fix.dis.Acquire(GinkgoT().Context(), fix.request("r"))
				got <- err
			}()
			if !cas.refused {
				Eventually(fix.waiting).Should(Equal(cas.waiting + 1))
				return
			}
			var err error
			Eventually(got).Should(Receive(&err))
			Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
			Expect(refuser.FromError(err).RetryAfter).To(BeNumerically(">", 0))
			Expect(fix.waiting()).To(Equal(cas.waiting))
		})
	}

	// Guards against requests that wait for a permit and are refused when it is a little late.
	It("keeps a request waiting while its permit still comes in time", func() {
		fix := newLimitedFixture(1, unit("a", "z", 4))
		fix.grant("a", 0, 890*time.Millisecond, time.Second)
		one := fix.acquireAsync(fix.request("1"))
		Eventually(fix.waiting).Should(Equal(1))
		fix.grant("a", 0, 980*time.Millisecond, time.Second)
		fix.dis.DispatchWaiting()
		Consistently(fix.waiting, "50ms").Should(Equal(1))
		fix.clk.Advance(980 * time.Millisecond)
		fix.grant("a", 1, time.Second, time.Second)
		fix.dis.DispatchWaiting()
		Eventually(one).Should(Receive(Not(BeNil())))
	})

	It("counts no more slots than the rate can fill", func() {
		fix := newLimitedFixture(1, unit("a", "z", 20), unit("b", "z", 20))
		fix.grant("a", 1, 0, time.Second)
		pla := <-fix.acquireAsync(fix.request("1"))
		fix.clk.Advance(1500 * time.Millisecond)
		pla.Release(dispatcher.Outcome{Result: dispatcher.Served})
		Expect(fix.dis.Loads()[pool].Slots).To(Equal(23))
	})
})
