package claimer

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClaimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claimer")
}

const (
	defaultSeeds  = 16
	callers       = 24
	keysPerCaller = 12
	sendsPerKey   = 4
)

// runOnceModel models a key as a write-once register: the send that ran writes its run, a replay reads it.
var runOnceModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		stored, ran, ans := state.(string), input.(string), output.(answer)
		if ran != "" {
			consistent := ans.kind == KindOutcomeUnknown || ans.kind == kindDone && ans.run == ran
			return stored == "" && consistent, ran
		}
		switch {
		case ans.kind == kindDone:
			return stored == ans.run, stored
		case ans.kind == KindNotRun && !ans.thisSendOnly:
			return stored == "", stored
		}
		return true, stored
	},
}

// history records the sends of each key for the linearizability check.
type history struct {
	mu    sync.Mutex
	sends map[string][]porcupine.Operation
	kinds map[string]int
}

func (his *history) add(key string, num, call, ret int64, ans answer) {
	his.mu.Lock()
	defer his.mu.Unlock()
	keyType := "client "
	if strings.Contains(key, "/") {
		keyType = "issued "
	}
	his.kinds[keyType+string(ans.kind)]++
	if ans.kind == KindOutcomeUnknown {
		ret = math.MaxInt64
	}
	his.sends[key] = append(his.sends[key], porcupine.Operation{Input: num, Call: call, Output: ans, Return: ret})
}

func (his *history) check(sim *simulation) {
	for key, ops := range his.sends {
		Expect(len(sim.runs[key])).To(BeNumerically("<=", 1), "runs of %s: %v", key, sim.runs[key])
		for pos := range ops {
			ops[pos].ClientId = pos
			ops[pos].Input = sim.ranBy[ops[pos].Input.(int64)]
			if ops[pos].Output.(answer).kind == KindNotRun {
				Expect(ops[pos].Input).To(BeEmpty(), "a send of %s was answered not_run, and ran", key)
			}
		}
		his.countNotRunAfterRun(ops)
		Expect(porcupine.CheckOperations(runOnceModel, ops)).To(BeTrue(), "history of %s: %+v", key, ops)
	}
}

// countNotRunAfterRun counts the sends that were answered not_run, limited to that send, after an earlier send had run and returned.
func (his *history) countNotRunAfterRun(ops []porcupine.Operation) {
	ran := int64(math.MaxInt64)
	for _, op := range ops {
		if op.Input != "" {
			ran = op.Return
		}
	}
	for _, op := range ops {
		if op.Output.(answer).thisSendOnly && op.Call > ran {
			his.kinds["client not_run after a run"]++
		}
	}
}

// caller sends each of its keys several times to random entries, some of the sends concurrently.
func caller(sim *simulation, his *history) {
	defer GinkgoRecover()
	for range keysPerCaller {
		key := sim.newRandomKey()
		var all sync.WaitGroup
		for range sendsPerKey {
			num := sim.logicalClock.Add(1)
			timeout := time.Duration(sim.randomInt(8000)) * time.Microsecond
			nod := sim.randomNode()
			all.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				ans := sim.send(ctx, nod, key, num, 0)
				his.add(key, num, num, sim.logicalClock.Add(1), ans)
			})
			if sim.randomInt(3) > 0 {
				all.Wait()
			}
		}
		all.Wait()
	}
}

func simulate(seed uint64) *history {
	sim := newSimulation(seed, 4)
	his := &history{sends: map[string][]porcupine.Operation{}, kinds: map[string]int{}}
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { caller(sim, his) })
	}
	finished := make(chan struct{})
	go func() {
		all.Wait()
		close(finished)
	}()
	for running := true; running; {
		sim.step()
		select {
		case <-finished:
			running = false
		case <-time.After(100 * time.Microsecond):
		}
	}
	for range 200 {
		sim.step()
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	his.check(sim)
	return his
}

func seeds() int {
	if num, err := strconv.Atoi(os.Getenv("LOVAGELEVER_SEEDS")); err == nil {
		return num
	}
	return defaultSeeds
}

var _ = Describe("at most once", func() {
	It("holds while entries crash, pause, stop and are evicted, and the log is unavailable or loses answers", func() {
		kinds := map[string]int{}
		for seed := range uint64(seeds()) {
			By(fmt.Sprint("seed ", seed))
			for kind, count := range simulate(seed).kinds {
				kinds[kind] += count
			}
		}
		fmt.Println("seeds 0 to", seeds()-1, "answers:", kinds)
		for _, kind := range []Kind{kindDone, KindNotRun, KindOutcomeUnknown} {
			Expect(kinds["issued "+string(kind)]).To(BeNumerically(">", 0), string(kind))
			Expect(kinds["client "+string(kind)]).To(BeNumerically(">", 0), string(kind))
		}
	})
})
