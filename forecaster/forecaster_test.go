package forecaster_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
)

var (
	pool = forecaster.Pool{Service: "s", Model: "m"}
	size = estimator.Request{PromptTokens: 700, AnswerTokens: 150}
)

const key = 7

// ask records requests of one size at an even rate, of which a share is refused.
func ask(frc *forecaster.Forecaster, clk *clockwork.FakeClock, perSecond int, refused float64, last time.Duration) {
	for num := range int(float64(perSecond) * last.Seconds()) {
		frc.Record(pool, size)
		if float64(num%10) < 10*refused {
			frc.Refuse(pool, size)
		}
		clk.Advance(time.Second / time.Duration(perSecond))
	}
}

var _ = Describe("Forecaster", func() {
	var clk *clockwork.FakeClock
	var frc *forecaster.Forecaster
	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		frc = forecaster.New(clk)
	})

	It("measures 50 requests per second of 700 prompt tokens within a twentieth", func() {
		ask(frc, clk, 50, 0, 6*time.Second)
		own := frc.Own()[pool]
		Expect(own.Requests).To(BeNumerically("~", 50, 2.5))
		Expect(own.PromptTokens).To(BeNumerically("~", 35000, 1750))
		Expect(own.AnswerTokens).To(BeNumerically("~", 7500, 375))
	})

	It("forgets a pool without requests", func() {
		ask(frc, clk, 50, 0, time.Second)
		clk.Advance(time.Minute)
		Expect(frc.Own()).To(BeEmpty())
	})

	for _, cas := range []struct {
		name    string
		arrive  int
		refused float64
		lowest  float64
		highest float64
	}{
		// 40 callers per second: half of their first requests are refused, and half of the second ones.
		{"is exact if refused callers come once more and are refused as often", 60, 0.5, 38, 62},
		{"is at most half of the refused work too low if nobody comes again", 40, 0.5, 28, 40},
	} {
		It(cas.name, func() {
			ask(frc, clk, cas.arrive, cas.refused, 6*time.Second)
			Expect(frc.Own()[pool].Requests).To(And(BeNumerically(">=", cas.lowest), BeNumerically("<=", cas.highest)))
		})
	}

	It("sums up the entries by zone, and drops one that is silent", func() {
		zones := map[string]string{"a": "z1", "b": "z2"}
		frc.Put("a", map[uint64]estimator.Demand{key: {Requests: 1, PromptTokens: 300, AnswerTokens: 10}})
		clk.Advance(time.Second)
		frc.Put("b", map[uint64]estimator.Demand{key: {Requests: 2, PromptTokens: 100, AnswerTokens: 20}})
		Expect(frc.Expire(1500 * time.Millisecond)).To(Equal(2))
		all := frc.Sum(key, zones)
		Expect(all.Recent).To(Equal(estimator.Demand{Requests: 3, PromptTokens: 400, AnswerTokens: 30}))
		Expect(all.ZoneShares).To(Equal(map[string]float64{"z1": 0.75, "z2": 0.25}))
		clk.Advance(time.Second)
		Expect(frc.Expire(1500 * time.Millisecond)).To(Equal(1))
		Expect(frc.Sum(key, zones).Recent.Requests).To(BeNumerically("==", 2))
	})

	It("follows a rise at once and a fall slowly", func() {
		state := func(tokens float64) estimator.Demand {
			frc.Put("a", map[uint64]estimator.Demand{key: {PromptTokens: tokens}})
			return frc.Sum(key, nil).Peak()
		}
		for range 50 {
			state(1000)
			clk.Advance(100 * time.Millisecond)
		}
		Expect(state(3000).PromptTokens).To(BeNumerically("==", 3000))
		state(1000)
		for range 50 {
			clk.Advance(100 * time.Millisecond)
			state(3000)
		}
		clk.Advance(100 * time.Millisecond)
		Expect(state(0).PromptTokens).To(BeNumerically(">", 1500))
		for range 200 {
			clk.Advance(100 * time.Millisecond)
			state(0)
		}
		Expect(state(0).PromptTokens).To(BeNumerically("<", 200))
	})

	It("records a request without allocating", func() {
		frc.Record(pool, size)
		Expect(testing.AllocsPerRun(100, func() { frc.Record(pool, size) })).To(BeZero())
	})
})
