package forwarder

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/refuser"
)

var suite *testing.T

func TestForwarder(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "forwarder")
}

const (
	defaultSeeds  = 30
	callers       = 20
	keysPerCaller = 6
	sendsPerKey   = 4
)

// sendResult is the result of one send as seen by its caller.
type sendResult struct {
	id     string
	status refuser.Type
	body   string
	replay bool
}

// setOnce models an idempotency key as a register that is set at most once: a send that ran sets it, and a replay reads it.
var setOnce = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		held, ran, ans := state.(string), input.(string), output.(sendResult)
		switch {
		case ran != "":
			return held == "" && (ans.status == refuser.TypeOutcomeUnknown || ans.body == ran && !ans.replay), ran
		case ans.status == refuser.TypeNotRun:
			return held == "", held
		case ans.status == "":
			return held == ans.body && ans.replay, held
		}
		return true, held
	},
}

// history records the sends of each key.
type history struct {
	mtx   sync.Mutex
	clock atomic.Int64
	sends map[string][]porcupine.Operation
	kinds map[string]int
}

func (his *history) add(key string, call int64, ans sendResult) {
	ret := his.clock.Add(1)
	his.mtx.Lock()
	defer his.mtx.Unlock()
	kind := string(ans.status)
	if ans.replay {
		kind = "replayed"
	}
	his.kinds[kind]++
	if key == "" {
		key = ans.id
	}
	if ans.status == refuser.TypeOutcomeUnknown {
		ret = math.MaxInt64
	}
	his.sends[key] = append(his.sends[key], porcupine.Operation{ClientId: len(his.sends[key]), Call: call, Output: ans, Return: ret})
}

// check verifies that each key ran at most once and that its history is linearizable, and that each ticket was released once.
func (his *history) check(wor *world) {
	for key, ops := range his.sends {
		runs := 0
		for pos := range ops {
			ans := ops[pos].Output.(sendResult)
			run := wor.ran[ans.id]
			ops[pos].Input = run
			if run != "" {
				runs++
				Expect(ans.status).NotTo(Equal(refuser.TypeNotRun), "a send of %s was answered not_run, but ran", key)
			}
		}
		Expect(runs).To(BeNumerically("<=", 1), "runs of %s", key)
		Expect(porcupine.CheckOperations(setOnce, ops)).To(BeTrue(), "history of %s: %+v", key, ops)
	}
	for until, releases := range wor.tickets {
		Expect(releases).To(Equal(1), "releases of ticket %s", until)
	}
}

// runCaller sends each of its keys several times to random entries, some of them concurrently.
func (his *history) runCaller(wor *world, num int) {
	defer GinkgoRecover()
	for one := range keysPerCaller {
		key := wor.newKey()
		var all sync.WaitGroup
		for two := range sendsPerKey {
			id := fmt.Sprintf("%d-%d-%d", num, one, two)
			nod := wor.pick()
			call := his.clock.Add(1)
			all.Go(func() {
				defer GinkgoRecover()
				his.add(key, call, wor.send(nod, key, id))
			})
			if wor.randInt(3) > 0 {
				all.Wait()
			}
			time.Sleep(time.Duration(wor.randInt(500)) * time.Millisecond)
		}
		all.Wait()
	}
}

// send sends a call once; some callers time out before the answer, and a dead entry returns none.
func (wor *world) send(nod *node, key, id string) sendResult {
	ctx, leave := context.WithTimeout(context.Background(), time.Duration(50+wor.randInt(3000))*time.Millisecond)
	defer leave()
	ans := nod.fwd.Forward(ctx, Call{RequestID: id, Workspace: "halls", Service: "desk", Method: "POST", Path: "/seats", Key: key, Within: 2 * time.Second})
	switch {
	case nod.isDead():
		return sendResult{id: id, status: refuser.TypeOutcomeUnknown}
	case ans.Refusal != nil:
		return sendResult{id: id, status: ans.Refusal.Type}
	default:
		return sendResult{id: id, body: string(ans.Body), replay: ans.Replayed}
	}
}

func simulate(seed uint64) *history {
	wor := newWorld(seed)
	his := &history{sends: map[string][]porcupine.Operation{}, kinds: map[string]int{}}
	var all sync.WaitGroup
	for num := range callers {
		all.Go(func() { his.runCaller(wor, num) })
	}
	callersDone := make(chan struct{})
	go func() {
		all.Wait()
		close(callersDone)
	}()
	for running := true; running; {
		wor.step(false)
		select {
		case <-callersDone:
			running = false
		default:
		}
	}
	for range 1000 {
		wor.step(true)
	}
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	his.check(wor)
	return his
}

func seeds() int {
	if num, err := strconv.Atoi(os.Getenv("LOVAGELEVER_SEEDS")); err == nil {
		return num
	}
	return defaultSeeds
}

var _ = Describe("calls that are not idempotent", func() {
	It("run at most once while entries crash, stop and are evicted, and answers are lost", func() {
		kinds := map[string]int{}
		for seed := range uint64(seeds()) {
			By(fmt.Sprint("seed ", seed))
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				for kind, count := range simulate(seed).kinds {
					kinds[kind] += count
				}
			})
		}
		fmt.Println("seeds 0 to", seeds()-1, "answers:", kinds)
		for _, kind := range []string{"", "replayed", string(refuser.TypeNotRun), string(refuser.TypeOutcomeUnknown)} {
			Expect(kinds[kind]).To(BeNumerically(">", 10), "%q", kind)
		}
	})
})
