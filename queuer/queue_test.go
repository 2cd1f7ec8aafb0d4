package queuer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

var _ = Describe("Queue", func() {
	var clk *clockwork.FakeClock
	BeforeEach(func() { clk = clockwork.NewFakeClock() })

	push := func(que *queuer.Queue, itms ...queuer.Item) {
		for _, itm := range itms {
			_, err := que.Push(itm)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	pushMany := func(que *queuer.Queue, wsp string, num int) {
		for idx := range num {
			push(que, queuer.Item{ID: fmt.Sprint(wsp, idx), Workspace: wsp, Cost: 100})
		}
	}

	It("serves backlogged workspaces in the ratio of their weights", func() {
		rapid.Check(GinkgoT(), func(rap *rapid.T) {
			que := queuer.New(queuer.Options{Clock: clk})
			num := rapid.IntRange(2, 4).Draw(rap, "workspaces")
			weights := rapid.SliceOfN(rapid.IntRange(1, 5), num, num).Draw(rap, "weights")
			cost := rapid.Float64Range(1, 100)
			for idx := range 50 * num {
				wsp := idx % num
				push(que, queuer.Item{ID: fmt.Sprint(idx), Workspace: fmt.Sprint(wsp), Weight: weights[wsp], Cost: cost.Draw(rap, "cost")})
			}
			served := make([]float64, num)
			for range 50 {
				itm, _ := que.Pop(nil)
				var wsp int
				_, _ = fmt.Sscan(itm.Workspace, &wsp)
				served[wsp] += itm.Cost / float64(itm.Weight)
				for one := range num {
					for two := range one {
						bound := 100/float64(weights[one]) + 100/float64(weights[two])
						if math.Abs(served[one]-served[two]) > bound {
							rap.Fatalf("workspaces %d and %d got %v", one, two, served)
						}
					}
				}
			}
		})
	})

	It("serves a small workspace promptly while a large one has a backlog", func() {
		que := queuer.New(queuer.Options{Clock: clk})
		pushMany(que, "large", 1000)
		for num := range 50 {
			push(que, queuer.Item{ID: fmt.Sprint("s", num), Workspace: "small", Cost: 100})
			one, _ := que.Pop(nil)
			two, _ := que.Pop(nil)
			Expect([]string{one.Workspace, two.Workspace}).To(ContainElement("small"))
		}
	})

	It("gives a workspace no credit for idle time", func() {
		que := queuer.New(queuer.Options{Clock: clk})
		pushMany(que, "busy", 200)
		for range 100 {
			que.Pop(nil)
		}
		pushMany(que, "idle", 100)
		served := map[string]int{}
		for range 20 {
			itm, _ := que.Pop(nil)
			served[itm.Workspace]++
		}
		Expect(served["busy"]).To(BeNumerically("~", 10, 1))
	})

	It("pops the first request of each flow within the documented bound", func() {
		rapid.Check(GinkgoT(), func(rap *rapid.T) {
			clk := clockwork.NewFakeClock()
			que := queuer.New(queuer.Options{Clock: clk})
			flows := rapid.IntRange(1, 8).Draw(rap, "flows")
			for num := range flows {
				push(que, queuer.Item{ID: fmt.Sprint("low", num), Workspace: fmt.Sprint("w", num), Priority: -num, Cost: 1})
			}
			pushMany(que, "aged", rapid.IntRange(0, 100).Draw(rap, "aged"))
			clk.Advance(queuer.DefaultAgingThreshold + 1)
			popped := map[string]bool{}
			for num := range queuer.AgingInterval * (flows + 2) {
				push(que, queuer.Item{ID: fmt.Sprint("high", num), Workspace: "high", Priority: 9, Cost: 1})
				itm, _ := que.Pop(nil)
				popped[itm.ID] = true
			}
			for num := range flows {
				if !popped[fmt.Sprint("low", num)] {
					rap.Fatalf("request low%d of %d flows is still queued", num, flows)
				}
			}
		})
	})

	It("prefers a higher priority to requests that have not aged", func() {
		que := queuer.New(queuer.Options{Clock: clk})
		pushMany(que, "low", 20)
		for num := range 20 {
			push(que, queuer.Item{ID: fmt.Sprint("high", num), Workspace: "high", Priority: 1, Cost: 100})
		}
		for range 20 {
			itm, _ := que.Pop(nil)
			Expect(itm.Workspace).To(Equal("high"))
		}
	})

	It("returns every request exactly once and stays within its capacities", func() {
		rapid.Check(GinkgoT(), func(rap *rapid.T) {
			que := queuer.New(queuer.Options{Capacity: 10, WorkspaceCapacity: 6, Clock: clk})
			in := map[string]queuer.Item{}
			out := func(id string) {
				if _, found := in[id]; !found {
					rap.Fatalf("request %s returned twice", id)
				}
				delete(in, id)
			}
			num := 0
			rap.Repeat(map[string]func(*rapid.T){
				"push": func(rap *rapid.T) {
					num++
					itm := queuer.Item{ID: fmt.Sprint(num), Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rap, "workspace"),
						Priority: rapid.IntRange(0, 2).Draw(rap, "priority"), Cost: 1}
					evicted, err := que.Push(itm)
					if err == nil {
						in[itm.ID] = itm
					}
					if evicted != nil {
						out(evicted.ID)
					}
				},
				"pop": func(*rapid.T) {
					if itm, found := que.Pop(nil); found {
						out(itm.ID)
					}
				},
				"remove": func(rap *rapid.T) {
					id := fmt.Sprint(rapid.IntRange(0, num).Draw(rap, "id"))
					if que.Remove(id) {
						out(id)
					}
				},
				"": func(rap *rapid.T) {
					counts := map[string]int{}
					for _, itm := range in {
						counts[itm.Workspace]++
					}
					if que.Len() != len(in) || len(in) > 10 || max(counts["a"], counts["b"], counts["c"]) > 6 {
						rap.Fatalf("%d in the queue, %v expected", que.Len(), counts)
					}
				},
			})
			for _, itm := range que.Drain() {
				out(itm.ID)
			}
			if len(in) > 0 {
				rap.Fatalf("%d requests were never returned", len(in))
			}
		})
	})

	full := []struct {
		name      string
		workspace string
		status    int
	}{
		{"its workspace is over its share", "large", 429},
		{"its workspace has reached its capacity", "capped", 429},
		{"every workspace is within its share", "other", 503},
	}
	for _, tst := range full {
		It("refuses a request when "+tst.name, func() {
			que := queuer.New(queuer.Options{Capacity: 10, WorkspaceCapacity: 5, Clock: clk})
			pushMany(que, "capped", 5)
			pushMany(que, "large", 4)
			pushMany(que, "tiny", 1)
			if tst.status == 503 {
				que = queuer.New(queuer.Options{Capacity: 1, Clock: clk})
				push(que, queuer.Item{ID: "i", Workspace: "important", Weight: 9})
			}
			_, err := que.Push(queuer.Item{ID: "x", Workspace: tst.workspace})
			Expect(err).To(HaveOccurred())
			Expect(refuser.FromError(err)).To(And(HaveField("Status", tst.status), HaveField("RetryAfter", BeNumerically(">", 0))))
		})
	}

	It("evicts a request from a full queue for a workspace below its share", func() {
		que := queuer.New(queuer.Options{Capacity: 10, Clock: clk})
		pushMany(que, "large", 10)
		evicted, err := que.Push(queuer.Item{ID: "s", Workspace: "small"})
		Expect(err).NotTo(HaveOccurred())
		Expect(evicted.ID).To(Equal("large9"))
	})

	It("refuses a request that would wait past its latest start, whatever its run time", func() {
		que := queuer.New(queuer.Options{Clock: clk})
		pushMany(que, "a", 10)
		que.RecordCompletion(100, time.Second)
		que.SetSlots(2)
		push := func(id string, startIn time.Duration) error {
			_, err := que.Push(queuer.Item{ID: id, Workspace: "a", Cost: 100_000, StartBy: clk.Now().Add(startIn)})
			return err
		}
		Expect(push("short", 4*time.Second)).To(HaveOccurred())
		Expect(push("long", 6*time.Second)).NotTo(HaveOccurred())
	})

	early := []struct {
		name     string
		deadline time.Duration
		priority int
		refused  bool
	}{
		{"accepts a request that can finish in time", 7 * time.Second, 0, false},
		{"refuses a request that would finish too late", 5 * time.Second, 0, true},
		{"accepts a request that its higher priority lets finish in time", 1500 * time.Millisecond, 1, false},
		{"refuses a request that could not finish even without a wait", time.Second / 2, 1, true},
		{"refuses a request whose deadline has passed", -1, 1, true},
	}
	for _, tst := range early {
		It(tst.name, func() {
			que := queuer.New(queuer.Options{Clock: clk})
			pushMany(que, "a", 10)
			que.RecordCompletion(100, time.Second)
			que.SetSlots(2)
			_, err := que.Push(queuer.Item{ID: "x", Workspace: "a", Priority: tst.priority, Cost: 100, Deadline: clk.Now().Add(tst.deadline)})
			Expect(err != nil).To(Equal(tst.refused))
			if tst.refused {
				Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
			}
		})
	}
})

func BenchmarkPushPop10000(ben *testing.B) {
	que := queuer.New(queuer.Options{Capacity: 20000})
	num := 0
	add := func() {
		num++
		_, _ = que.Push(queuer.Item{ID: fmt.Sprint(num), Workspace: fmt.Sprint("w", num%10), Priority: num % 3, Cost: 100})
	}
	for range 10000 {
		add()
	}
	for ben.Loop() {
		add()
		que.Pop(nil)
	}
}
