package ratelimiter_test

import (
	"fmt"
	"math"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
)

var server = registrar.Instance{ID: "w", Started: 1}

func everything(registrar.Instance) bool { return true }

func self() string { return "self" }

var _ = Describe("RateLimiter", func() {
	var clk *clockwork.FakeClock
	var lim *ratelimiter.RateLimiter
	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		lim = ratelimiter.New(clk)
	})

	limit := func() float64 {
		perSecond, limited := lim.Limit(server)
		if !limited {
			return -1
		}
		return perSecond
	}

	It("takes over the limit of the last response, and keeps it from responses to earlier requests", func() {
		before := clk.Now()
		clk.Advance(time.Second)
		Expect(lim.Observe(server, true, 0.5, before)).To(BeTrue())
		Expect(lim.Observe(server, true, 0.5, before)).To(BeFalse())
		Expect(lim.Observe(server, true, 2.25, before)).To(BeTrue())
		Expect(lim.Observe(server, false, 0, before)).To(BeFalse())
		Expect(limit()).To(Equal(2.25))
		_, other := lim.Limit(registrar.Instance{ID: "w", Started: 2})
		Expect(other).To(BeFalse())
		clk.Advance(time.Second)
		Expect(lim.Observe(server, false, 0, clk.Now())).To(BeTrue())
		Expect(limit()).To(BeEquivalentTo(-1))
	})

	DescribeTable("takes no rate that is no number", func(perSecond float64) {
		Expect(lim.Observe(server, true, perSecond, clk.Now())).To(BeFalse())
		Expect(limit()).To(BeEquivalentTo(-1))
	}, Entry("NaN", math.NaN()), Entry("infinite", math.Inf(1)), Entry("negative", -1.0))

	notice := func(limited bool, perSecond float64, age time.Duration) ratelimiter.Notice {
		return ratelimiter.Notice{Server: server, Limited: limited, PerSecond: perSecond, Age: age}
	}
	cases := []struct {
		name    string
		notices []ratelimiter.Notice
		want    float64
	}{
		{"first", []ratelimiter.Notice{notice(true, 3, 0)}, 3},
		{"newer", []ratelimiter.Notice{notice(true, 3, 2*time.Second), notice(true, 5, time.Second)}, 5},
		{"older", []ratelimiter.Notice{notice(true, 3, time.Second), notice(true, 5, 2*time.Second)}, 3},
		{"at the same time", []ratelimiter.Notice{notice(true, 3, time.Second), notice(true, 5, time.Second-20*time.Millisecond)}, 3},
		{"end", []ratelimiter.Notice{notice(true, 3, 2*time.Second), notice(false, 0, time.Second)}, -1},
		{"late repetition after the end", []ratelimiter.Notice{notice(true, 3, 3*time.Second), notice(false, 0, time.Second), notice(true, 3, 2*time.Second)}, -1},
		{"end of an unknown limit", []ratelimiter.Notice{notice(false, 0, 0)}, -1},
	}
	for _, cas := range cases {
		It("takes over what other entries know: "+cas.name, func() {
			clk.Advance(time.Minute)
			for _, not := range cas.notices {
				lim.Apply(not)
			}
			Expect(limit()).To(Equal(cas.want))
		})
	}

	It("forgets the limits of servers that are off the list for a while", func() {
		lim.Observe(server, true, 1, clk.Now())
		for range 70 {
			lim.SetListed(everything)
			clk.Advance(time.Second)
		}
		Expect(limit()).To(Equal(1.0))
		for range 70 {
			lim.SetListed(func(registrar.Instance) bool { return false })
			clk.Advance(time.Second)
		}
		Expect(lim.KnowsLimits()).To(BeFalse())
		Expect(limit()).To(BeEquivalentTo(-1))
	})

	// own makes this entry the owner of the server.
	own := func(perSecond float64) {
		lim.Observe(server, true, perSecond, clk.Now())
		lim.SetOwned(everything)
	}
	issue := func() map[string]int {
		out := map[string]int{}
		for name, list := range lim.Issue(self) {
			for _, gra := range list {
				out[name] += gra.Count
			}
		}
		return out
	}

	DescribeTable("issues permits at the rate of the limit, to all that want some in turn", func(perSecond, share, want float64) {
		own(perSecond)
		lim.SetShare(share)
		got := map[string]int{}
		const tick, length = 20 * time.Millisecond, 20 * time.Second
		for at := time.Duration(0); at < length; at += tick {
			for num := range 3 {
				lim.Ask(fmt.Sprint("e", num), ratelimiter.Ask{Server: server, Count: 2, Within: time.Hour})
			}
			clk.Advance(tick)
			for name, num := range issue() {
				got[name] += num
			}
		}
		total := 0
		for num := range 3 {
			one := got[fmt.Sprint("e", num)]
			Expect(float64(one)).To(BeNumerically(">=", 0.8*want*length.Seconds()/3-1))
			total += one
		}
		Expect(float64(total)).To(BeNumerically("~", want*length.Seconds(), 1.01))
	}, Entry("whole", 6.0, 1.0, 6.0), Entry("fraction", 0.3, 1.0, 0.3), Entry("high", 250.0, 1.0, 250.0),
		Entry("two thirds of the entries are heard", 6.0, 2.0/3, 4.0), Entry("none is taken", 0.0, 1.0, 0.1))

	It("has an entry wait no longer than it can, and says how long that would be", func() {
		own(2)
		lim.Ask("e0", ratelimiter.Ask{Server: server, Count: 1, Within: time.Second})
		lim.Ask("e1", ratelimiter.Ask{Server: server, Count: 1, Within: 600 * time.Millisecond})
		out := lim.Issue(self)
		Expect(out["e0"]).To(Equal([]ratelimiter.Grant{{Server: server, Wait: 500 * time.Millisecond, Interval: time.Second}}))
		Expect(out["e1"][0].Wait).To(Equal(time.Second))
		clk.Advance(300 * time.Millisecond)
		lim.Ask("e0", ratelimiter.Ask{Server: server, Count: 1, Within: time.Second})
		Expect(issue()).To(Equal(map[string]int{"e0": 0}))
		clk.Advance(200 * time.Millisecond)
		Expect(issue()).To(Equal(map[string]int{"e0": 1}))
		clk.Advance(time.Second)
		Expect(issue()).To(Equal(map[string]int{"self": 1}))
	})

	It("issues nothing for a server that it does not own, and begins without permits when it does", func() {
		own(4)
		clk.Advance(time.Minute)
		lim.SetOwned(func(registrar.Instance) bool { return false })
		lim.Ask("e", ratelimiter.Ask{Server: server, Count: 1, Within: time.Hour})
		Expect(issue()).To(BeEmpty())
		lim.SetOwned(everything)
		lim.Ask("e", ratelimiter.Ask{Server: server, Count: 1, Within: time.Hour})
		Expect(issue()).To(Equal(map[string]int{"e": 0}))
	})

	It("holds permits until they are spent, expire or are needless", func() {
		lim.Receive(ratelimiter.Grant{Server: server, Count: 2})
		Expect(lim.Permits(server)).To(BeZero())
		lim.Observe(server, true, 4, clk.Now())
		lim.Receive(ratelimiter.Grant{Server: server, Count: 2, Wait: time.Second})
		next, _, known := lim.NextPermit(server)
		Expect(known).To(BeTrue())
		Expect(next).To(Equal(clk.Now().Add(time.Second)))
		lim.Spend(server)
		Expect(lim.Permits(server)).To(Equal(1))
		clk.Advance(500 * time.Millisecond)
		Expect(lim.Permits(server)).To(BeZero())
		lim.Receive(ratelimiter.Grant{Server: server, Count: 1})
		lim.Observe(server, false, 0, clk.Now())
		Expect(lim.Permits(server)).To(BeZero())
	})
})
