package completer

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/refuser"
)

const (
	defaultSeeds = 30
	callers      = 40
	poisonSends  = 8
)

// callerSink checks the tokens that a caller receives; it returns an error at the token leaveAt unless leaveAt is negative.
type callerSink struct {
	name    string
	next    int
	leaveAt int
	delay   time.Duration
	ended   bool
}

var errLeft = errors.ConstError("the caller left")

func (snk *callerSink) Token(index int, content []byte) error {
	Expect(snk.ended).To(BeFalse(), "%s received a token after the call had ended", snk.name)
	Expect(index).To(Equal(snk.next), "order of %s", snk.name)
	Expect(string(content)).To(Equal(token(snk.name, index)), "text of %s", snk.name)
	if snk.leaveAt == index {
		snk.ended = true
		return errLeft
	}
	snk.next++
	if index == 1 {
		time.Sleep(snk.delay)
	}
	return nil
}

// resultCounts counts the results of the calls of a simulation.
type resultCounts struct {
	mtx    sync.Mutex
	counts map[string]int
}

func (res *resultCounts) add(kind string) {
	res.mtx.Lock()
	defer res.mtx.Unlock()
	res.counts[kind]++
}

// sendAndCheck sends one call and checks every guarantee given to its caller.
func (wor *world) sendAndCheck(name, id string, res *resultCounts) {
	rnd := wor.random("caller", id)
	timeout := time.Duration(2000+rnd.IntN(20000)) * time.Millisecond
	snk := &callerSink{name: name, leaveAt: -1}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	cutoff := timeout
	switch rnd.IntN(10) {
	case 0:
		snk.leaveAt = rnd.IntN(8)
	case 1:
		cutoff = time.Duration(rnd.IntN(3000)) * time.Millisecond
		defer time.AfterFunc(cutoff, leave).Stop()
	}
	begun := time.Now()
	cal := Call{
		RequestID: id, Workspace: "halls", Model: "composer", Prompt: name, MaxTokens: 100,
		Content: []byte(name), Body: []byte(name), Deadline: begun.Add(timeout),
	}
	got, err := wor.com.Complete(ctx, cal, snk)
	Expect(time.Since(begun)).To(BeNumerically("<=", min(cutoff, timeout)), "%s returned after its deadline", id)
	wor.checkAttempts(id, snk)
	if err == nil {
		Expect(snk.next).To(Equal(length(name)), "text of %s", id)
		Expect(got.Tokens).To(Equal(snk.next), "length of %s", id)
		Expect(wor.com.opt.Quarantine.IsSuspect(quarantiner.Fingerprint(cal.Workspace, cal.Model, cal.Content))).To(BeFalse(), "%s completed, but is still suspect", id)
		res.add("whole")
		return
	}
	ref := refuser.FromError(err)
	res.add(string(ref.Type))
	Expect(ref.Type).To(BeElementOf(refuser.TypeNotRun, refuser.TypeOutcomeUnknown, refuser.TypeCondemned), "%s: %v", id, err)
	if ref.Type == refuser.TypeNotRun {
		Expect(wor.runs(id)).To(BeZero(), "%s was answered not_run, but ran", id)
	}
	if ref.Type == refuser.TypeCondemned {
		Expect(isPoison(name)).To(BeTrue(), "%s crashes no engine, but was condemned", id)
	}
}

// checkAttempts checks the attempts and tickets of a call that has ended.
func (wor *world) checkAttempts(id string, snk *callerSink) {
	Expect(wor.runs(id)).To(BeNumerically("<=", maxStarts), "starts of %s", id)
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	Expect(len(wor.engineRequests[id])).To(BeNumerically("<", maxStarts+maxRefusals), "attempts of %s", id)
	for _, tkt := range wor.tickets {
		if tkt.id == id {
			Expect(tkt.released).To(Equal(1), "releases of a ticket of %s", id)
		}
	}
	snk.ended = true
}

func (wor *world) runs(id string) int {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	sum := 0
	for _, erq := range wor.engineRequests[id] {
		if erq.ran {
			sum++
		}
	}
	return sum
}

// simulate runs many calls concurrently, and a request that crashes engines, which is sent repeatedly under different IDs.
func simulate(seed uint64, res *resultCounts) *world {
	wor := newWorld(seed)
	var all sync.WaitGroup
	for num := range callers {
		all.Go(func() {
			defer GinkgoRecover()
			time.Sleep(time.Duration(wor.random("begin", num).IntN(5000)) * time.Millisecond)
			name := strings.Repeat("x", num%7) + strconv.Itoa(num)
			wor.sendAndCheck(name, name, res)
		})
	}
	all.Go(func() {
		defer GinkgoRecover()
		for num := range poisonSends {
			time.Sleep(time.Second)
			wor.sendAndCheck("poison", "bad"+strconv.Itoa(num), res)
		}
	})
	all.Wait()
	Expect(wor.crashes()).To(BeNumerically("<=", 2), "a request crashed more than two engines")
	return wor
}

func seeds() int {
	if num, err := strconv.Atoi(os.Getenv("LOVAGELEVER_SEEDS")); err == nil {
		return num
	}
	return defaultSeeds
}

var _ = Describe("chat completions under injected faults", func() {
	It("end with the complete text or one correct refusal", func() {
		res := &resultCounts{counts: map[string]int{}}
		kinds := map[string]int{}
		crashes := 0
		for seed := range uint64(seeds()) {
			By(fmt.Sprint("seed ", seed))
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := simulate(seed, res)
				crashes += wor.crashes()
				for kind, count := range wor.faults {
					kinds[kind] += count
				}
			})
		}
		fmt.Println("seeds 0 to", seeds()-1, "answers:", res.counts, "crashes:", crashes, "faults:", kinds)
		for _, kind := range []string{"whole", "not_run", "outcome_unknown", "condemned"} {
			Expect(res.counts[kind]).To(BeNumerically(">", 0), kind)
		}
		Expect(crashes).To(BeNumerically(">", seeds()))
		Expect(kinds).To(HaveLen(len(faults)))
	})
})

var _ = Describe("a stalled stream", func() {
	cases := []struct {
		name     string
		script   []fault
		slow     time.Duration
		attempts int
	}{
		{"is retried when the engine stalls", []fault{{name: "stall", at: 2}, {}}, 0, 2},
		{"is kept when the caller reads slowly", []fault{{}, {}}, 2 * stallTimeout, 1},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := newWorld(0)
				wor.script = cas.script
				snk := &callerSink{name: "hall", leaveAt: -1, delay: cas.slow}
				begun := time.Now()
				cal := Call{RequestID: "hall", Body: []byte("hall"), Deadline: begun.Add(time.Minute)}
				_, err := wor.com.Complete(context.Background(), cal, snk)
				Expect(err).NotTo(HaveOccurred())
				Expect(wor.engineRequests["hall"]).To(HaveLen(cas.attempts))
				Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
			})
		})
	}
})
