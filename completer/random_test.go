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
	poisoned     = 8
)

// listener is a caller's sink; it keeps what came and leaves at a token when leaveAt is not negative.
type listener struct {
	name    string
	next    int
	leaveAt int
	slow    time.Duration
	over    bool
}

var errLeft = errors.ConstError("the caller left")

func (lis *listener) Token(index int, content []byte) error {
	Expect(lis.over).To(BeFalse(), "%s got a token after its end", lis.name)
	Expect(index).To(Equal(lis.next), "order of %s", lis.name)
	Expect(string(content)).To(Equal(token(lis.name, index)), "text of %s", lis.name)
	if lis.leaveAt == index {
		lis.over = true
		return errLeft
	}
	lis.next++
	if index == 1 {
		time.Sleep(lis.slow)
	}
	return nil
}

// result counts how the calls of a run ended.
type result struct {
	mtx    sync.Mutex
	counts map[string]int
}

func (res *result) add(kind string) {
	res.mtx.Lock()
	defer res.mtx.Unlock()
	res.counts[kind]++
}

// ask sends one call and checks all that its caller may rely on.
func (wor *world) ask(name, id string, res *result) {
	rnd := wor.random("caller", id)
	patience := time.Duration(2000+rnd.IntN(20000)) * time.Millisecond
	lis := &listener{name: name, leaveAt: -1}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	last := patience
	switch rnd.IntN(10) {
	case 0:
		lis.leaveAt = rnd.IntN(8)
	case 1:
		last = time.Duration(rnd.IntN(3000)) * time.Millisecond
		defer time.AfterFunc(last, leave).Stop()
	}
	begun := time.Now()
	cal := Call{
		RequestID: id, Workspace: "halls", Model: "composer", Prompt: name, MaxTokens: 100,
		Content: []byte(name), Body: []byte(name), Deadline: begun.Add(patience),
	}
	got, err := wor.com.Complete(ctx, cal, lis)
	Expect(time.Since(begun)).To(BeNumerically("<=", min(last, patience)), "%s outlived its deadline", id)
	wor.settled(id, lis)
	if err == nil {
		Expect(lis.next).To(Equal(length(name)), "text of %s", id)
		Expect(got.Tokens).To(Equal(lis.next), "length of %s", id)
		Expect(wor.com.opt.Quarantine.IsSuspect(quarantiner.Fingerprint(cal.Workspace, cal.Model, cal.Content))).To(BeFalse(), "%s ran to its end", id)
		res.add("whole")
		return
	}
	ref := refuser.From(err)
	res.add(string(ref.Type))
	Expect(ref.Type).To(BeElementOf(refuser.TypeNotRun, refuser.TypeOutcomeUnknown, refuser.TypeCondemned), "%s: %v", id, err)
	if ref.Type == refuser.TypeNotRun {
		Expect(wor.ran(id)).To(BeZero(), "%s was answered not_run, and ran", id)
	}
	if ref.Type == refuser.TypeCondemned {
		Expect(isPoison(name)).To(BeTrue(), "%s is healthy, and condemned", id)
	}
}

// settled checks the attempts and the tickets of a call that has ended.
func (wor *world) settled(id string, lis *listener) {
	Expect(wor.ran(id)).To(BeNumerically("<=", maxStarts), "starts of %s", id)
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	Expect(len(wor.contacts[id])).To(BeNumerically("<", maxStarts+maxRefused), "attempts of %s", id)
	for _, pla := range wor.places {
		if pla.id == id {
			Expect(pla.given).To(Equal(1), "releases of a ticket of %s", id)
		}
	}
	lis.over = true
}

func (wor *world) ran(id string) int {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	sum := 0
	for _, con := range wor.contacts[id] {
		if con.ran {
			sum++
		}
	}
	return sum
}

// simulate runs many calls at once and one that crashes engines, which is sent again and again under other IDs.
func simulate(seed uint64, res *result) *world {
	wor := newWorld(seed)
	var all sync.WaitGroup
	for num := range callers {
		all.Go(func() {
			defer GinkgoRecover()
			time.Sleep(time.Duration(wor.random("begin", num).IntN(5000)) * time.Millisecond)
			name := strings.Repeat("x", num%7) + strconv.Itoa(num)
			wor.ask(name, name, res)
		})
	}
	all.Go(func() {
		defer GinkgoRecover()
		for num := range poisoned {
			time.Sleep(time.Second)
			wor.ask("poison", "bad"+strconv.Itoa(num), res)
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

var _ = Describe("completions under faults", func() {
	It("end with the whole text or one true refusal", func() {
		res := &result{counts: map[string]int{}}
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

var _ = Describe("a stall", func() {
	cases := []struct {
		name     string
		script   []fault
		slow     time.Duration
		attempts int
	}{
		{"of the engine ends the attempt", []fault{{name: "stall", at: 2}, {}}, 0, 2},
		{"of the caller does not", []fault{{}, {}}, 2 * stallAfter, 1},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := newWorld(0)
				wor.script = cas.script
				lis := &listener{name: "hall", leaveAt: -1, slow: cas.slow}
				begun := time.Now()
				cal := Call{RequestID: "hall", Body: []byte("hall"), Deadline: begun.Add(time.Minute)}
				_, err := wor.com.Complete(context.Background(), cal, lis)
				Expect(err).NotTo(HaveOccurred())
				Expect(wor.contacts["hall"]).To(HaveLen(cas.attempts))
				Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
			})
		})
	}
})
