package dispatcher_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/router"
)

const (
	answerTokens = 138
	// passLoad is the share of the tokens that the units can read, or of their slots, that callers ask for on a day on which under one first event in five may be late.
	passLoad = 0.75
)

var passEngine = router.Engine{
	Slots: 48, StepsPerPass: 5, Step: 6450 * time.Microsecond, StepPerRequest: 97 * time.Microsecond,
	PromptTokensPerSecond: 56100, ChunkTokens: 2048, MemoryTokens: 2_470_000, UsualPromptTokens: 912, UsualAnswerTokens: 138,
}

// run is a request at a unit; prompt and answer are the tokens that are left.
type run struct {
	pla            *dispatcher.Placement
	sent           time.Time
	prompt, answer int
}

// passUnit reads and writes in passes.
type passUnit struct {
	pace    float64
	end     time.Time
	reading []*run
	writing []*run
	read    []*run
}

// advance ends the pass that is due, and begins the next one. It returns how long the first events that leave took.
func (uni *passUnit) advance(now time.Time) (first []time.Duration) {
	if now.Before(uni.end) {
		return nil
	}
	var left []*run
	for _, one := range uni.writing {
		if one.answer -= passEngine.StepsPerPass; one.answer > 0 {
			left = append(left, one)
			continue
		}
		one.pla.Release(dispatcher.Outcome{Result: dispatcher.Served, Duration: now.Sub(one.sent)})
	}
	for _, one := range uni.read {
		first = append(first, now.Sub(one.sent))
		one.pla.FirstEvent()
	}
	left = append(left, uni.read...)
	uni.writing = left
	uni.read = nil
	chunk := passEngine.ChunkTokens
	for len(uni.reading) > 0 && chunk > 0 {
		part := min(chunk, uni.reading[0].prompt)
		chunk -= part
		if uni.reading[0].prompt -= part; uni.reading[0].prompt == 0 {
			uni.read, uni.reading = append(uni.read, uni.reading[0]), uni.reading[1:]
		}
	}
	write := passEngine.Step + time.Duration(len(uni.writing))*passEngine.StepPerRequest
	read := float64(passEngine.ChunkTokens-chunk) / passEngine.PromptTokensPerSecond * float64(time.Second)
	if now.Sub(uni.end) > fleetStep {
		uni.end = now
	}
	if len(uni.writing)+len(uni.read)+len(uni.reading) > 0 {
		uni.end = uni.end.Add(time.Duration(uni.pace * (float64(write)*float64(passEngine.StepsPerPass) + read)))
	}
	return first
}

// playPasses has entries place requests on units of one model so that they use passLoad, and returns the share of first events that are in time, with units chosen by predictions or by slots.
func playPasses(entries, units int, pace float64, prompts []float64, objective time.Duration, predicted bool) float64 {
	clk, rng := clockwork.NewFakeClock(), rand.New(rand.NewPCG(7, uint64(entries)))
	est, err := estimator.New(passEngine, router.Model{Name: "m", TimeFactor: pace})
	Expect(err).NotTo(HaveOccurred())
	var list []dispatcher.Unit
	engines := map[string]*passUnit{}
	for num := range units {
		uni := unit(fmt.Sprint("u", num), "z", passEngine.Slots)
		if predicted {
			uni.Estimator = est
		}
		list = append(list, uni)
		engines[uni.ID] = &passUnit{pace: pace}
	}
	fle := &fleet{clk: clk, rng: rng}
	for num := range entries {
		dis := dispatcher.New(dispatcher.Options{Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}), Random: rng.Float64})
		dis.SetEntries(entries, num)
		dis.SetUnits(list)
		dis.SetLoadAge(2 * collectInterval)
		fle.entries = append(fle.entries, dis)
	}
	mean := 0.0
	for _, val := range prompts {
		mean += val / float64(len(prompts))
	}
	perStep := float64(units) / est.GroupsNeeded(estimator.Demand{Requests: 1, PromptTokens: mean, AnswerTokens: answerTokens}, passLoad) * fleetStep.Seconds()
	sent, inTime, due := 0, 0, 0.0
	begin, end := clk.Now().Add(2*time.Second), clk.Now().Add(4500*time.Millisecond)
	for step := range 1000 {
		clk.Advance(fleetStep)
		now := clk.Now()
		if step%int(collectInterval/fleetStep) == 0 {
			fle.collect()
		}
		for _, uni := range list {
			for _, took := range engines[uni.ID].advance(now) {
				if at := now.Add(-took); at.After(begin) && at.Before(end) && took <= objective {
					inTime++
				}
			}
		}
		for due += perStep * rng.ExpFloat64(); due >= 1; due-- {
			// The sizes are distributed log-normally with a heavy tail.
			prompt := int(prompts[rng.IntN(len(prompts))] * math.Exp(rng.NormFloat64()*0.8-0.32))
			pla, err := fle.entries[rng.IntN(entries)].Acquire(context.Background(), dispatcher.Request{
				ID: fmt.Sprint(now.UnixNano(), due), Pool: pool, Cost: 1, StartBy: now, Deadline: now.Add(8 * time.Second),
				Size: estimator.Request{PromptTokens: max(1, prompt), AnswerTokens: answerTokens}, MemoryTokens: prompt + answerTokens,
			})
			if now.After(begin) && now.Before(end) {
				sent++
			}
			if err == nil {
				eng := engines[pla.Unit.ID]
				eng.reading = append(eng.reading, &run{pla: pla, sent: now, prompt: max(1, prompt), answer: answerTokens})
			}
		}
	}
	return float64(inTime) / float64(sent)
}

// Guards against first events that are late on units with free slots, because prompts wait there to be read.
var _ = Describe("Dispatchers of units that read prompts in passes", func() {
	cases := []struct {
		entries, units int
		pace           float64
		prompts        []float64
		objective      time.Duration
	}{
		{7, 5, 1, []float64{1420, 1960}, 400 * time.Millisecond},
		{23, 5, 1, []float64{1420, 1960}, 400 * time.Millisecond},
		{23, 11, 0.6, []float64{674}, 300 * time.Millisecond},
		{61, 24, 1, []float64{1420, 674, 1960}, 400 * time.Millisecond},
		{195, 38, 1, []float64{1420, 1960}, 400 * time.Millisecond},
		{390, 60, 0.6, []float64{674, 1420, 1960}, 300 * time.Millisecond},
	}
	for _, cas := range cases {
		It(fmt.Sprintf("send 4 in 5 first events in time, and as many as by slots, while 3 in 4 slots or tokens of a pass are in use: %d entries, %d units, prompts of %g tokens", cas.entries, cas.units, cas.prompts), func() {
			old := playPasses(cas.entries, cas.units, cas.pace, cas.prompts, cas.objective, false)
			now := playPasses(cas.entries, cas.units, cas.pace, cas.prompts, cas.objective, true)
			AddReportEntry("in time, by slots and by predictions", []float64{old, now})
			Expect(now).To(BeNumerically(">=", 0.8))
			Expect(now).To(BeNumerically(">=", old))
		})
	}
})
