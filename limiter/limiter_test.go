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
	newLimiter := func(untouched bool) {
		lim = limiter.New(limiter.Options{ColdLimit: 5, WarmLimit: 20, ReportLag: lag, Validity: lag, NoPriorAdmissions: untouched, Clock: clk})
		lim.SetMode(limiter.SoleHome)
	}
	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		newLimiter(true)
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
	// serve runs rounds that fill the limit and complete all requests with the given step time.
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

	It("does not treat the wait for a running step as overload", func() {
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
	It("decreases the limit when the first token takes far longer than a step", func() {
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

	It("increases the limit of a warm unit by at most one per completion, up to the warm limit", func() {
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

	decreases := []struct {
		name string
		act  func()
	}{
		{"latency exceeds the factor", func() { serve(3, 3*time.Millisecond) }},
		{"the backend server queues requests", func() { report(0, limiter.Report{Running: 10, Queued: 5, Warm: true, Started: "a"}) }},
	}
	for _, tst := range decreases {
		It("decreases the limit of a warm unit when "+tst.name, func() {
			warm()
			Expect(lim.Limit()).To(Equal(20))
			tst.act()
			Expect(lim.Limit()).To(And(BeNumerically("<", 20), BeNumerically(">", 5)))
		})
	}

	resets := []struct {
		name string
		act  func(limiter.Permit)
	}{
		{"a report says that the unit is cold", func(limiter.Permit) { report(0, limiter.Report{Started: "a"}) }},
		{"the engine restarted", func(limiter.Permit) { report(0, limiter.Report{Warm: true, Started: "b"}) }},
		{"a request was refused", func(per limiter.Permit) { lim.Release(per, limiter.Outcome{Refused: true}) }},
		{"the backend server failed during a request", func(per limiter.Permit) { lim.Release(per, limiter.Outcome{Broken: true}) }},
	}
	for _, tst := range resets {
		It("resets to the cold limit when "+tst.name+", until a later report says that the unit is warm", func() {
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
		{"a home that cannot prove that it still is the home", limiter.UncertainPredecessor, 2},
		{"a home that must not admit requests", limiter.NoAdmission, 0},
	}
	for _, tst := range modes {
		It("restricts admission at once for "+tst.name, func() {
			lim.SetMode(tst.old)
			Expect(fill()).To(HaveLen(tst.want))
		})
	}

	It("gives a successor the other half once a report covers the predecessor's requests", func() {
		newLimiter(false)
		lim.SetMode(limiter.UncertainSuccessor)
		report(lag, limiter.Report{})
		Expect(fill()).To(BeEmpty())
		report(2*lag, limiter.Report{Running: 1})
		Expect(fill()).To(HaveLen(3))
		lim.SetMode(limiter.SoleHome)
		report(lag, limiter.Report{Running: 3})
		Expect(fill()).To(BeEmpty())
		report(2*lag, limiter.Report{Running: 4})
		Expect(lim.Foreign()).To(Equal(1))
		Expect(fill()).To(HaveLen(1))
	})

	It("does not deduct permits granted after a lagging report was measured from the load that it counted", func() {
		newLimiter(false)
		report(3*lag, limiter.Report{Running: 3})
		Expect(fill()).To(HaveLen(2))
		report(lag/2, limiter.Report{Running: 3})
		Expect(lim.Foreign()).To(Equal(3))
		Expect(fill()).To(BeEmpty())
	})

	It("counts foreign load that appears in a report", func() {
		report(3*lag, limiter.Report{Running: 4})
		Expect(fill()).To(HaveLen(1))
		report(3*lag, limiter.Report{Running: 1})
		Expect(fill()).To(HaveLen(4))
	})

	It("keeps the capacity of a warm unit while cancellations stay unconfirmed", func() {
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

	It("counts a lost request against the share of an uncertain home", func() {
		lim.SetMode(limiter.UncertainPredecessor)
		lim.Abandon(fill()[0])
		Expect(fill()).To(BeEmpty())
		report(3*lag, limiter.Report{Running: 1})
		Expect(fill()).To(HaveLen(1))
	})

	It("takes over the limit and load that a predecessor hands over", func() {
		warm()
		fill()
		han, sole := lim.HandOver()
		Expect(sole).To(BeTrue())
		Expect(fill()).To(BeEmpty())
		newLimiter(false)
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
		{"possibly still running", func(per limiter.Permit) bool { return lim.Release(per, limiter.Outcome{MayRun: true}) }},
	}
	for _, tst := range losses {
		It("keeps counting a request that is "+tst.name+" until a report covers it", func() {
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
	lim := limiter.New(limiter.Options{ColdLimit: 4, WarmLimit: 32, ReportLag: lag, Validity: lag, NoPriorAdmissions: true})
	for ben.Loop() {
		per, _ := lim.Acquire()
		lim.Release(per, limiter.Outcome{})
	}
}
