package estimator_test

import (
	"math"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/router"
)

var (
	mod = router.Model{Name: "m", TimeFactor: 1}
	// eng writes a pass of 4 steps in 40 ms without requests, and reads a chunk of 1,000 tokens in 50 ms.
	eng = router.Engine{
		Slots: 10, StepsPerPass: 4, Step: 10 * time.Millisecond, StepPerRequest: time.Millisecond,
		PromptTokensPerSecond: 20000, ChunkTokens: 1000, UsualPromptTokens: 500, UsualAnswerTokens: 40, MemoryTokens: 50000,
	}
)

var _ = Describe("Estimator", func() {
	cases := []struct {
		name     string
		work     estimator.Work
		prompt   int
		slowness float64
		first    time.Duration
		interval time.Duration
	}{
		{"reads a prompt in one pass, after half a pass", estimator.Work{}, 1000, 1, 110 * time.Millisecond, 90 * time.Millisecond},
		{"needs longer passes for more requests", estimator.Work{Requests: 5}, 1000, 1, 140 * time.Millisecond, 110 * time.Millisecond},
		{"reads what waits before the prompt by chunks, one of them in the pass that runs", estimator.Work{Unread: 1500}, 1000, 1, 200 * time.Millisecond, 90 * time.Millisecond},
		{"multiplies all times by the slowness", estimator.Work{}, 1000, 5, 550 * time.Millisecond, 450 * time.Millisecond},
		{"takes a negative prompt as empty", estimator.Work{}, -7, 1, 60 * time.Millisecond, 40 * time.Millisecond},
		{"bounds an absurd prompt", estimator.Work{}, math.MaxInt, 1, 900*time.Second + 20*time.Millisecond, 90 * time.Millisecond},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			est, err := estimator.New(eng, mod)
			Expect(err).NotTo(HaveOccurred())
			pre := est.Predict(cas.work, estimator.Request{PromptTokens: cas.prompt, AnswerTokens: 40}, cas.slowness)
			Expect(pre.FirstEvent).To(BeNumerically("~", cas.first, time.Microsecond))
			Expect(pre.EventInterval).To(BeNumerically("~", cas.interval, time.Microsecond))
		})
	}

	It("adds the memory of a request to what is committed, and the times of context and pairs of tokens", func() {
		costly := eng
		costly.StepPerContextToken, costly.PromptPairTime = 1000, 100
		est, err := estimator.New(costly, mod)
		Expect(err).NotTo(HaveOccurred())
		pre := est.Predict(estimator.Work{Committed: 1000}, estimator.Request{PromptTokens: 1000, AnswerTokens: 40}, 1)
		Expect(pre.Memory).To(Equal(2040))
		// A step takes 1 ms longer; 1,000 tokens have half a million pairs.
		Expect(pre.FirstEvent).To(BeNumerically("~", 166*time.Millisecond, time.Millisecond))
	})

	bad := []struct {
		name   string
		change func(*router.Engine, *router.Model)
	}{
		{"no step", func(eng *router.Engine, _ *router.Model) { eng.Step = 0 }},
		{"negative time for a request", func(eng *router.Engine, _ *router.Model) { eng.StepPerRequest = -1 }},
		{"no slots", func(eng *router.Engine, _ *router.Model) { eng.Slots = 0 }},
		{"no reading speed", func(eng *router.Engine, _ *router.Model) { eng.PromptTokensPerSecond = 0 }},
		{"reading speed that is no number", func(eng *router.Engine, _ *router.Model) { eng.PromptTokensPerSecond = math.NaN() }},
		{"infinite reading speed", func(eng *router.Engine, _ *router.Model) { eng.PromptTokensPerSecond = math.Inf(1) }},
		{"no chunk", func(eng *router.Engine, _ *router.Model) { eng.ChunkTokens = 0 }},
		{"negative pair time", func(eng *router.Engine, _ *router.Model) { eng.PromptPairTime = -1 }},
		{"negative memory", func(eng *router.Engine, _ *router.Model) { eng.MemoryTokens = -1 }},
		{"a step of an hour", func(eng *router.Engine, _ *router.Model) { eng.Step = time.Hour }},
		{"no time factor", func(_ *router.Engine, mod *router.Model) { mod.TimeFactor = 0 }},
		{"a time factor that is no number", func(_ *router.Engine, mod *router.Model) { mod.TimeFactor = math.NaN() }},
	}
	for _, cas := range bad {
		It("refuses figures with "+cas.name, func() {
			eng, mod := eng, mod
			cas.change(&eng, &mod)
			_, err := estimator.New(eng, mod)
			Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
		})
	}

	It("needs as many groups as keep up with reading at the rate it predicts", func() {
		est, err := estimator.New(eng, mod)
		Expect(err).NotTo(HaveOccurred())
		dem := estimator.Demand{PromptTokens: 3 * est.ReadingRate(estimator.Work{}, 1)}
		Expect(est.GroupsNeeded(dem, 1)).To(BeNumerically("~", 3, 0.01))
		Expect(est.GroupsNeeded(dem, 0.5)).To(BeNumerically(">", 4))
	})

	It("predicts without allocation", func() {
		est, err := estimator.New(eng, mod)
		Expect(err).NotTo(HaveOccurred())
		Expect(testing.AllocsPerRun(100, func() {
			est.Predict(estimator.Work{Requests: 9, Unread: 5000}, estimator.Request{PromptTokens: 700}, 1)
		})).To(BeZero())
	})
})

// BenchmarkPredict measures the prediction for one unit.
func BenchmarkPredict(ben *testing.B) {
	est, err := estimator.New(eng, mod)
	if err != nil {
		ben.Fatal(err)
	}
	ben.ReportAllocs()
	for ben.Loop() {
		est.Predict(estimator.Work{Requests: 9, Unread: 5000, Committed: 9000}, estimator.Request{PromptTokens: 700, AnswerTokens: 30}, 1.2)
	}
}
