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
	defaultSeeds = 16
	callers      = 24
	keysEach     = 12
	sendsEach    = 4
)

// setOnce is a key that takes the value of the run once; a send that ran sets it, a replay reads it.
var setOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		held, ran, ans := state.(string), input.(string), output.(answer)
		if ran != "" {
			whole := ans.kind == KindOutcomeUnknown || ans.kind == kindDone && ans.run == ran
			return held == "" && whole, ran
		}
		switch {
		case ans.kind == kindDone:
			return held == ans.run, held
		case ans.kind == KindNotRun && !ans.thisSendOnly:
			return held == "", held
		}
		return true, held
	},
}

// history collects the sends of each key.
type history struct {
	mu    sync.Mutex
	sends map[string][]porcupine.Operation
	kinds map[string]int
}

func (his *history) add(key string, num, call, ret int64, ans answer) {
	his.mu.Lock()
	defer his.mu.Unlock()
	way := "logged "
	if strings.Contains(key, "/") {
		way = "issued "
	}
	his.kinds[way+string(ans.kind)]++
	if ans.kind == KindOutcomeUnknown {
		ret = math.MaxInt64
	}
	his.sends[key] = append(his.sends[key], porcupine.Operation{Input: num, Call: call, Output: ans, Return: ret})
}

func (his *history) check(wor *world) {
	for key, ops := range his.sends {
		Expect(len(wor.runs[key])).To(BeNumerically("<=", 1), "runs of %s: %v", key, wor.runs[key])
		for pos := range ops {
			ops[pos].ClientId = pos
			ops[pos].Input = wor.ranBy[ops[pos].Input.(int64)]
			if ops[pos].Output.(answer).kind == KindNotRun {
				Expect(ops[pos].Input).To(BeEmpty(), "a send of %s was answered not_run, and ran", key)
			}
		}
		his.countStale(ops)
		Expect(porcupine.CheckOperations(setOnce, ops)).To(BeTrue(), "history of %s: %+v", key, ops)
	}
}

// countStale counts the sends that were answered not_run, of that send only, after an earlier send had run and ended.
func (his *history) countStale(ops []porcupine.Operation) {
	ran := int64(math.MaxInt64)
	for _, op := range ops {
		if op.Input != "" {
			ran = op.Return
		}
	}
	for _, op := range ops {
		if op.Output.(answer).thisSendOnly && op.Call > ran {
			his.kinds["logged not_run after a run"]++
		}
	}
}

// caller sends each of its keys several times, at whichever entry, some of them at once.
func caller(wor *world, his *history) {
	defer GinkgoRecover()
	for range keysEach {
		key := wor.newKey()
		var all sync.WaitGroup
		for range sendsEach {
			num := wor.tick.Add(1)
			patience := time.Duration(wor.lot(8000)) * time.Microsecond
			nod := wor.pick()
			all.Go(func() {
				defer GinkgoRecover()
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				ans := wor.send(ctx, nod, key, num, 0)
				his.add(key, num, num, wor.tick.Add(1), ans)
			})
			if wor.lot(3) > 0 {
				all.Wait()
			}
		}
		all.Wait()
	}
}

func simulate(seed uint64) *history {
	wor := newWorld(seed, 4)
	his := &history{sends: map[string][]porcupine.Operation{}, kinds: map[string]int{}}
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { caller(wor, his) })
	}
	over := make(chan struct{})
	go func() {
		all.Wait()
		close(over)
	}()
	for running := true; running; {
		wor.step()
		select {
		case <-over:
			running = false
		case <-time.After(100 * time.Microsecond):
		}
	}
	for range 200 {
		wor.step()
	}
	wor.mu.Lock()
	defer wor.mu.Unlock()
	his.check(wor)
	return his
}

func seeds() int {
	if num, err := strconv.Atoi(os.Getenv("LOVAGELEVER_SEEDS")); err == nil {
		return num
	}
	return defaultSeeds
}

var _ = Describe("at most once", func() {
	It("holds while entries die, pause, stop and are evicted, and the log is out or loses answers", func() {
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
			Expect(kinds["logged "+string(kind)]).To(BeNumerically(">", 0), string(kind))
		}
	})
})
