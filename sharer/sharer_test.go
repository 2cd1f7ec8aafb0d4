package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/sharer"
)

const (
	step = 5 * time.Millisecond
	pool = "service/model"
	// requests is the work of a request, capacity the work per second of the pool.
	requests = 800.0
	capacity = 400_000.0
	// queueTime is how long requests wait for room before they are refused.
	queueTime = 75 * time.Millisecond
)

// cluster is a pool that serves some work per second, shared by the callers of many entries. A request that finds no room is refused.
type cluster struct {
	clk     *clockwork.FakeClock
	rng     *rand.Rand
	entries []*sharer.Sharer
	room    float64
	shared  bool
	// exchange is the interval at which entries tell the others their use, or a collector if there is one.
	exchange  time.Duration
	collector *sharer.Sharer
	unheard   map[int]bool
	asked     map[string]float64
	started   map[string]float64
}

func newCluster(entries int, shared bool) *cluster {
	clu := &cluster{clk: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(5, 7)), shared: shared, exchange: 100 * time.Millisecond, unheard: map[int]bool{}}
	for range entries {
		clu.entries = append(clu.entries, clu.newSharer())
	}
	if entries > 30 {
		clu.collector = clu.newSharer()
	}
	clu.forget()
	return clu
}

func (clu *cluster) newSharer() *sharer.Sharer {
	return sharer.New(sharer.Options{Clock: clu.clk, Random: clu.rng.Float64})
}

func (clu *cluster) forget() {
	clu.asked, clu.started = map[string]float64{}, map[string]float64{}
}

// play has workspaces ask for work per second at random entries.
func (clu *cluster) play(asks map[string]float64, last time.Duration) {
	for at := time.Duration(0); at < last; at += step {
		clu.clk.Advance(step)
		clu.room = min(clu.room+capacity*step.Seconds(), queueTime.Seconds()*capacity)
		clu.tell(at)
		var due []string
		for _, wsp := range []string{"a", "b", "c", "d", "flood"} {
			for num := asks[wsp] / requests * step.Seconds(); num > 0; num-- {
				if clu.rng.Float64() < num {
					due = append(due, wsp)
				}
			}
		}
		clu.rng.Shuffle(len(due), func(one, two int) { due[one], due[two] = due[two], due[one] })
		for _, wsp := range due {
			clu.request(clu.entries[clu.rng.IntN(len(clu.entries))], wsp)
		}
	}
}

func (clu *cluster) request(ent *sharer.Sharer, wsp string) {
	req := sharer.Request{Pool: pool, Workspace: wsp, Work: requests}
	clu.asked[wsp] += req.Work
	if clu.shared && ent.Admit(req) != nil {
		return
	}
	if clu.room < req.Work {
		ent.RecordRefused(req)
		return
	}
	clu.room -= req.Work
	clu.started[wsp] += req.Work
	ent.RecordStarted(req)
}

func (clu *cluster) tell(at time.Duration) {
	for num, ent := range clu.entries {
		phase := time.Duration(num) * clu.exchange / time.Duration(len(clu.entries))
		if (at+phase)%clu.exchange >= step || clu.unheard[num] {
			continue
		}
		name, own := fmt.Sprint("e", num), ent.Own()
		if clu.collector != nil {
			clu.collector.SetRemote(name, own)
			ent.SetLimits(clu.collector.Limits(), clu.clk.Now().Add(500*time.Millisecond))
			continue
		}
		for to, oth := range clu.entries {
			if to != num {
				oth.SetRemote(name, own)
			}
		}
	}
}

func (clu *cluster) share(wsp string) float64 {
	sum := 0.0
	for _, work := range clu.started {
		sum += work
	}
	return clu.started[wsp] / sum
}

var _ = Describe("Sharers of many entries", func() {
	sizes := []int{7, 61, 195, 390}
	// The flood asks for twice what the pool serves, the others for half of it.
	flood := map[string]float64{"a": 50_000, "b": 50_000, "c": 50_000, "d": 50_000, "flood": 800_000}

	for _, entries := range sizes {
		It(fmt.Sprintf("serve the others whole while one workspace asks for twice what the pool serves: %d entries", entries), func() {
			served := map[bool]float64{}
			for _, shared := range []bool{false, true} {
				clu := newCluster(entries, shared)
				clu.play(flood, 2*time.Second)
				clu.forget()
				clu.play(flood, 5*time.Second)
				for _, wsp := range []string{"a", "b", "c", "d"} {
					served[shared] += clu.started[wsp] / clu.asked[wsp] / 4
				}
				if shared {
					Expect(clu.share("flood")).To(BeNumerically("~", 0.5, 0.05))
					Expect(sumOf(clu.started)).To(BeNumerically(">", 0.95*5*capacity), "the pool is in use")
				}
			}
			fmt.Fprintf(GinkgoWriter, "served of the others, %d entries: %.3f without shares, %.3f with\n", entries, served[false], served[true])
			Expect(served[true]).To(BeNumerically(">", 0.95))
			Expect(served[false]).To(BeNumerically("<", 0.6))
		})

		It(fmt.Sprintf("give workspaces that all ask for too much equal shares: %d entries", entries), func() {
			asks := map[string]float64{"a": 150_000, "b": 150_000, "c": 300_000, "d": 600_000}
			clu := newCluster(entries, true)
			clu.play(asks, 2*time.Second)
			clu.forget()
			clu.play(asks, 5*time.Second)
			for wsp := range asks {
				Expect(clu.share(wsp)).To(BeNumerically("~", 0.25, 0.05*0.25), wsp)
			}
		})
	}

	It("keep the shares while a third of the entries is not heard", func() {
		clu := newCluster(61, true)
		for num := range 20 {
			clu.unheard[num] = true
		}
		clu.play(flood, 2*time.Second)
		clu.forget()
		clu.play(flood, 5*time.Second)
		for _, wsp := range []string{"a", "b", "c", "d"} {
			Expect(clu.started[wsp]/clu.asked[wsp]).To(BeNumerically(">", 0.9), wsp)
		}
	})

	It("lend idle room within a second and take it back within a second", func() {
		clu := newCluster(61, true)
		clu.play(flood, 4*time.Second)
		alone := map[string]float64{"flood": 800_000}
		clu.play(alone, time.Second)
		clu.forget()
		clu.play(alone, 2*time.Second)
		Expect(clu.started["flood"]).To(BeNumerically(">", 0.95*2*capacity))
		clu.play(flood, time.Second)
		clu.forget()
		clu.play(flood, 2*time.Second)
		Expect(clu.started["a"] / clu.asked["a"]).To(BeNumerically(">", 0.9))
	})

	It("change nothing while there is room for all", func() {
		clu := newCluster(61, true)
		clu.play(map[string]float64{"a": 10_000, "flood": 300_000}, 5*time.Second)
		Expect(sumOf(clu.started)).To(BeNumerically(">", 0.99*sumOf(clu.asked)))
		for _, ent := range clu.entries {
			Expect(ent.Limits()).To(BeEmpty())
		}
	})

	It("say when a place is to be expected, and refuse nothing any more after a flood", func() {
		clu := newCluster(7, true)
		clu.play(flood, 3*time.Second)
		var err error
		for num := 0; err == nil && num < 10; num++ {
			err = clu.entries[0].Admit(sharer.Request{Pool: pool, Workspace: "flood", Work: requests})
		}
		var ref refuser.Refusal
		Expect(errors.As(err, &ref)).To(BeTrue())
		Expect(ref.Type).To(Equal(refuser.TypeNotRun))
		Expect(ref.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 30*time.Second)))
		calm := map[string]float64{"a": 50_000, "flood": 100_000}
		clu.play(calm, 2*time.Second)
		clu.forget()
		clu.play(calm, 2*time.Second)
		Expect(sumOf(clu.started)).To(BeNumerically(">", 0.99*sumOf(clu.asked)))
	})
})

func sumOf(byWorkspace map[string]float64) float64 {
	sum := 0.0
	for _, work := range byWorkspace {
		sum += work
	}
	return sum
}
