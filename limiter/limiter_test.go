package limiter_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/limiter"
)

const lag = time.Second

var _ = Describe("Limiter", func() {
	var clk *clockwork.FakeClock
	var lim *limiter.Limiter
	fresh := func(untouched bool) {
		lim = limiter.New(limiter.Options{ColdLimit: 5, WarmLimit: 20, ReportLag: lag, Validity: lag, Untouched: untouched, Clock: clk})
		lim.SetMode(limiter.Sole)
	}
	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		fresh(true)
	})

	report := func(after time.Duration, rep limiter.Report) {
		clk.Advance(after)
		rep.At = clk.Now()
		lim.Report(rep)
	}
	fill := func() []limiter.Permit {
		var out []limiter.Permit
		for per, free := lim.Acquire(); free; per, free = lim.Acquire() {
			out = append(out, per)
		}
		return out
	}
	// serve fills the limit and ends all, again and again.
	serve := func(rounds int, step time.Duration) {
		for range rounds {
			for _, per := range fill() {
				lim.Release(per, limiter.Outcome{Step: step})
			}
			clk.Advance(100 * time.Millisecond)
		}
	}
	warm := func() {
		report(3*lag, limiter.Report{Warm: true, Started: "a"})
		serve(200, time.Millisecond)
	}

	It("does not take the wait for a running step for an overload", func() {
		report(3*lag, limiter.Report{Warm: true, Started: "a"})
		step := 21 * time.Millisecond
		before := lim.Limit()
		for num := range 20 {
			per, free := lim.Acquire()
			Expect(free).To(BeTrue())
			lim.Release(per, limiter.Outcome{FirstToken: step * time.Duration(min(num, 1)+1), Step: step})
			clk.Advance(lag)
		}
		Expect(lim.Limit()).To(BeNumerically(">=", before))
	})
	It("shrinks when the first token waits for far more than a step", func() {
		warm()
		before := lim.Limit()
		for range 20 {
			for _, per := range fill() {
				lim.Release(per, limiter.Outcome{FirstToken: 10 * time.Millisecond, Step: time.Millisecond})
			}
		}
		for range 20 {
			for _, per := range fill() {
				lim.Release(per, limiter.Outcome{FirstToken: 100 * time.Millisecond, Step: time.Millisecond})
			}
			clk.Advance(lag)
		}
		Expect(lim.Limit()).To(BeNumerically("<", before))
	})

	It("grows a warm unit's limit by one per completion at most, up to the warm limit", func() {
		report(3*lag, limiter.Report{Warm: true, Started: "a"})
		Expect(lim.Limit()).To(Equal(5))
		for lim.Limit() < 20 {
			before, held := lim.Limit(), fill()
			lim.Release(held[0], limiter.Outcome{})
			Expect(lim.Limit()).To(BeNumerically("<=", before+1))
			for _, per := range held[1:] {
				lim.Release(per, limiter.Outcome{Undispatched: true})
			}
		}
		serve(10, time.Millisecond)
		Expect(lim.Limit()).To(Equal(20))
	})

	slower := []struct {
		name string
		act  func()
	}{
		{"latency is over the factor", func() { serve(3, 3*time.Millisecond) }},
		{"the backend server queues", func() { report(0, limiter.Report{Running: 10, Queued: 5, Warm: true, Started: "a"}) }},
	}
	for _, tst := range slower {
		It("shrinks a warm unit's limit when "+tst.name, func() {
			warm()
			Expect(lim.Limit()).To(Equal(20))
			tst.act()
			Expect(lim.Limit()).To(And(BeNumerically("<", 20), BeNumerically(">", 5)))
		})
	}

	falls := []struct {
		name string
		act  func(limiter.Permit)
	}{
		{"a report says cold", func(limiter.Permit) { report(0, limiter.Report{Started: "a"}) }},
		{"the engine was started anew", func(limiter.Permit) { report(0, limiter.Report{Warm: true, Started: "b"}) }},
		{"a request was refused", func(per limiter.Permit) { lim.Release(per, limiter.Outcome{Refused: true}) }},
		{"a request broke", func(per limiter.Permit) { lim.Release(per, limiter.Outcome{Broken: true}) }},
	}
	for _, tst := range falls {
		It("falls to the cold limit when "+tst.name+", until a later report says warm", func() {
			warm()
			held := fill()
			Expect(held).To(HaveLen(20))
			tst.act(held[0])
			Expect(lim.Limit()).To(Equal(5))
			Expect(fill()).To(BeEmpty())
			report(lag/2, limiter.Report{Warm: true, Started: "b"})
			report(0, limiter.Report{Warm: true, Started: "b"})
			Expect(lim.Warm()).To(BeFalse())
			report(2*lag, limiter.Report{Warm: true, Started: "b"})
			Expect(lim.Warm()).To(BeTrue())
		})
	}

	modes := []struct {
		name string
		old  limiter.Mode
		want int
	}{
		{"a home that cannot prove it", limiter.UncertainOld, 2},
		{"a home that lost its duty", limiter.Blind, 0},
	}
	for _, tst := range modes {
		It("narrows at once for "+tst.name, func() {
			lim.SetMode(tst.old)
			Expect(fill()).To(HaveLen(tst.want))
		})
	}

	It("gives a successor the other half once a report covers the predecessor", func() {
		fresh(false)
		lim.SetMode(limiter.UncertainNew)
		report(lag, limiter.Report{})
		Expect(fill()).To(BeEmpty())
		report(2*lag, limiter.Report{Running: 1})
		Expect(fill()).To(HaveLen(3))
		lim.SetMode(limiter.Sole)
		report(lag, limiter.Report{Running: 3})
		Expect(fill()).To(BeEmpty())
		report(2*lag, limiter.Report{Running: 4})
		Expect(lim.Foreign()).To(Equal(1))
		Expect(fill()).To(HaveLen(1))
	})

	It("does not take own requests that began after a lagging report was measured for those which it counted", func() {
		fresh(false)
		report(3*lag, limiter.Report{Running: 3})
		Expect(fill()).To(HaveLen(2))
		report(lag/2, limiter.Report{Running: 3})
		Expect(lim.Foreign()).To(Equal(3))
		Expect(fill()).To(BeEmpty())
	})

	It("counts load that appears beside its own", func() {
		report(3*lag, limiter.Report{Running: 4})
		Expect(fill()).To(HaveLen(1))
		report(3*lag, limiter.Report{Running: 1})
		Expect(fill()).To(HaveLen(4))
	})

	It("keeps a warm unit's room while cancellations go unconfirmed", func() {
		warm()
		for range 60 {
			held := fill()
			lim.Release(held[0], limiter.Outcome{MayRun: true})
			report(lag/2, limiter.Report{Running: len(held) - 1, Warm: true, Started: "a"})
			for _, per := range held[1:] {
				lim.Release(per, limiter.Outcome{})
			}
		}
		Expect(lim.Room()).To(BeNumerically(">=", 14))
	})

	It("counts a lost request in the half of an uncertain home", func() {
		lim.SetMode(limiter.UncertainOld)
		lim.Abandon(fill()[0])
		Expect(fill()).To(BeEmpty())
		report(3*lag, limiter.Report{Running: 1})
		Expect(fill()).To(HaveLen(1))
	})

	It("takes over what a predecessor hands over", func() {
		warm()
		fill()
		han, sole := lim.HandOver()
		Expect(sole).To(BeTrue())
		Expect(fill()).To(BeEmpty())
		fresh(false)
		Expect(lim.TakeOver(han)).To(BeTrue())
		Expect(lim.Limit()).To(Equal(20))
		Expect(fill()).To(BeEmpty())
		report(3*lag, limiter.Report{Running: 15, Warm: true, Started: "a"})
		Expect(fill()).To(HaveLen(5))
	})

	losses := []struct {
		name string
		act  func(limiter.Permit) bool
	}{
		{"abandoned", func(per limiter.Permit) bool { return lim.Abandon(per) }},
		{"perhaps still running", func(per limiter.Permit) bool { return lim.Release(per, limiter.Outcome{MayRun: true}) }},
	}
	for _, tst := range losses {
		It("keeps the place of a request that is "+tst.name+" until a report covers it", func() {
			held := fill()
			Expect(tst.act(held[0])).To(BeTrue())
			report(lag, limiter.Report{Running: 4})
			Expect(fill()).To(BeEmpty())
			report(2*lag, limiter.Report{Running: 5})
			Expect(fill()).To(BeEmpty())
			report(lag, limiter.Report{Running: 4})
			Expect(fill()).To(HaveLen(1))
		})
	}
})

func BenchmarkAcquireRelease(ben *testing.B) {
	lim := limiter.New(limiter.Options{ColdLimit: 4, WarmLimit: 32, ReportLag: lag, Validity: lag, Untouched: true})
	for ben.Loop() {
		per, _ := lim.Acquire()
		lim.Release(per, limiter.Outcome{})
	}
}
