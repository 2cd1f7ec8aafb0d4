package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/refuser"
)

const pool = "service/model"

func unit(id, zone string, slots int) dispatcher.Unit {
	return dispatcher.Unit{ID: id, Pool: pool, ServerID: id, Zone: zone, Slots: slots}
}

// fixture is a dispatcher in zone z with a fake clock.
type fixture struct {
	clk *clockwork.FakeClock
	dis *dispatcher.Dispatcher
}

func newFixture(units ...dispatcher.Unit) *fixture {
	clk := clockwork.NewFakeClock()
	fix := &fixture{clk: clk, dis: dispatcher.New(dispatcher.Options{
		Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}),
	})}
	fix.dis.SetUnits(units)
	return fix
}

func (fix *fixture) request(id string, exclude ...string) dispatcher.Request {
	return dispatcher.Request{
		ID: id, Pool: pool, Workspace: "w-" + id, Cost: 1, Exclude: exclude,
		StartBy: fix.clk.Now().Add(time.Second), Deadline: fix.clk.Now().Add(time.Minute),
	}
}

// acquireAsync calls Acquire in the background and returns a channel that receives the result, or is closed on an error.
func (fix *fixture) acquireAsync(req dispatcher.Request) chan *dispatcher.Placement {
	out := make(chan *dispatcher.Placement, 1)
	go func() {
		defer GinkgoRecover()
		pla, err := fix.dis.Acquire(context.Background(), req)
		if err == nil {
			out <- pla
		} else {
			close(out)
		}
	}()
	return out
}

func (fix *fixture) waiting() int {
	return fix.dis.Loads()[pool].Waiting
}

var _ = Describe("Dispatcher", func() {
	It("gives a free slot only to a request that does not exclude the unit", func() {
		fix := newFixture(unit("a", "z", 1), unit("b", "z", 1))
		one := <-fix.acquireAsync(fix.request("1"))
		two := <-fix.acquireAsync(fix.request("2"))
		held := map[string]*dispatcher.Placement{one.Unit.ID: one, two.Unit.ID: two}
		var results []chan *dispatcher.Placement
		for num := range 6 {
			results = append(results, fix.acquireAsync(fix.request(fmt.Sprint("not-a-", num), "a")), fix.acquireAsync(fix.request(fmt.Sprint("not-b-", num), "b")))
		}
		Eventually(fix.waiting).Should(Equal(12))
		held["a"].Release(dispatcher.Outcome{Result: dispatcher.Served})
		granted := 0
		for num, cha := range results {
			select {
			case pla := <-cha:
				granted++
				Expect(pla.Unit.ID).To(Equal("a"))
				Expect(num%2).To(Equal(1), "the request must not go to unit a")
			case <-time.After(20 * time.Millisecond):
			}
		}
		Expect(granted).To(Equal(1))
	})

	It("prefers its own availability zone until its load is clearly higher", func() {
		fix := newFixture(unit("near", "z", 10), unit("far", "y", 10))
		zones := ""
		for num := range 12 {
			pla := <-fix.acquireAsync(fix.request(fmt.Sprint(num)))
			zones += pla.Unit.Zone
		}
		Expect(zones).To(HavePrefix("zzz"))
		Expect(zones).To(ContainSubstring("y"))
	})

	It("counts the requests of other entries", func() {
		fix := newFixture(unit("a", "z", 2))
		fix.dis.SetRemoteLoad("other", map[string]estimator.Work{"a": {Requests: 2}})
		cha := fix.acquireAsync(fix.request("1"))
		Eventually(fix.waiting).Should(Equal(1))
		fix.dis.SetRemoteLoad("other", nil)
		Eventually(cha).Should(Receive(Not(BeNil())))
	})

	It("limits requests to a cold unit to the entry's share of its rate", func() {
		cold := unit("a", "z", 100)
		cold.ColdPerSecond, cold.ColdUntil = 10, time.Now().Add(time.Hour)
		fix := newFixture()
		fix.dis.SetEntries(5, 0)
		cold.ColdUntil = fix.clk.Now().Add(time.Hour)
		fix.dis.SetUnits([]dispatcher.Unit{cold})
		sent := 0
		const seconds = 10
		for range seconds * 10 {
			fix.clk.Advance(100 * time.Millisecond)
			req := fix.request(fmt.Sprint(sent, fix.clk.Now().UnixMilli()))
			req.StartBy = fix.clk.Now()
			if _, err := fix.dis.Acquire(context.Background(), req); err == nil {
				sent++
			}
		}
		Expect(sent).To(BeNumerically("~", 10*seconds/5, 2))
	})

	// Guards against FAILBACK: 36 of 74 entries sent to a cold server within one second of its zone's return.
	Describe("of many entries", func() {
		const entries, perSecond, waiting = 74, 17.0, 3 * time.Second
		cases := []struct {
			name string
			// before is the unit until it becomes cold or serves.
			before func(uni dispatcher.Unit) dispatcher.Unit
		}{
			{"that begins to serve while it is cold", func(uni dispatcher.Unit) dispatcher.Unit {
				uni.Readiness = dispatcher.Stopping
				return uni
			}},
			{"that becomes cold while it serves", func(uni dispatcher.Unit) dispatcher.Unit {
				uni.ColdUntil = time.Time{}
				return uni
			}},
			{"whose zone returns from an evacuation", func(uni dispatcher.Unit) dispatcher.Unit {
				uni.ColdUntil, uni.Readiness = time.Time{}, dispatcher.Stopping
				return uni
			}},
		}
		for _, cas := range cases {
			It("send no more than allowed in any second to a unit "+cas.name, func() {
				rng := rand.New(rand.NewPCG(19, 1))
				clk := clockwork.NewFakeClock()
				cold := unit("a", "z", 100)
				cold.ColdPerSecond, cold.ColdUntil = perSecond, clk.Now().Add(time.Hour)
				var all []*dispatcher.Dispatcher
				for rank := range entries {
					dis := dispatcher.New(dispatcher.Options{Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}), Random: rng.Float64})
					dis.SetEntries(entries, rank)
					dis.SetUnits([]dispatcher.Unit{cas.before(cold)})
					all = append(all, dis)
				}
				clk.Advance(waiting)
				for _, dis := range all {
					dis.SetUnits([]dispatcher.Unit{cold})
				}
				total := playCold(clk, all, 200, 1.5*perSecond+5)
				Expect(float64(total)).To(BeNumerically(">", 0.8*perSecond*10))
			})
		}

		for _, num := range []int{7, 74, 390} {
			It(fmt.Sprintf("send nothing to a cold unit until each knows their number, and then no more than allowed: %d entries started together", num), func() {
				clk := clockwork.NewFakeClock()
				cold := unit("a", "z", 100)
				cold.ColdPerSecond, cold.ColdUntil = perSecond, clk.Now().Add(time.Hour)
				var all []*dispatcher.Dispatcher
				for range num {
					dis := dispatcher.New(dispatcher.Options{Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}), Random: rand.Float64})
					dis.SetEntries(0, 0)
					dis.SetUnits([]dispatcher.Unit{cold})
					all = append(all, dis)
				}
				Expect(playCold(clk, all, 20, 0)).To(BeZero())
				for rank, dis := range all {
					dis.SetEntries(num, rank)
				}
				Expect(float64(playCold(clk, all, 200, 1.5*perSecond+5))).To(BeNumerically(">", 0.8*perSecond*10))
			})
		}
	})

	DescribeTable("refuses at once, as not run, a request that cannot be served",
		func(units ...dispatcher.Unit) {
			fix := newFixture(units...)
			_, err := fix.dis.Acquire(context.Background(), fix.request("1", "had"))
			Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
			Expect(refuser.FromError(err).RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("no unit"),
		Entry("only a unit that has already received it", unit("had", "z", 1)),
		Entry("no serving unit", dispatcher.Unit{ID: "a", Pool: pool, Slots: 1, Readiness: dispatcher.Stopping}),
	)

	It("notifies running requests when their unit breaks, but not when it is removed from the list", func() {
		fix := newFixture(unit("a", "z", 2), unit("b", "y", 2))
		one := <-fix.acquireAsync(fix.request("1"))
		Expect(one.Unit.ID).To(Equal("a"))
		fix.dis.SetUnits([]dispatcher.Unit{unit("b", "y", 2)})
		Consistently(one.Broken, "50ms").ShouldNot(BeClosed())
		gone := unit("a", "z", 2)
		gone.Readiness = dispatcher.Broken
		fix.dis.SetUnits([]dispatcher.Unit{gone})
		Expect(one.Broken).To(BeClosed())
	})
})

// playCold has entries send as much as they may in each step, and returns how much they sent; limit is what all may send in any second.
func playCold(clk *clockwork.FakeClock, all []*dispatcher.Dispatcher, steps int, limit float64) int {
	const step = 50 * time.Millisecond
	var sent []int
	inSecond, total := 0, 0
	for pos := range steps {
		clk.Advance(step)
		num := 0
		for _, dis := range all {
			req := dispatcher.Request{ID: "r", Pool: pool, Cost: 1, StartBy: clk.Now(), Deadline: clk.Now().Add(time.Minute)}
			if _, err := dis.Acquire(context.Background(), req); err == nil {
				num++
			}
		}
		sent = append(sent, num)
		inSecond, total = inSecond+num, total+num
		if pos >= int(time.Second/step) {
			inSecond -= sent[pos-int(time.Second/step)]
		}
		Expect(float64(inSecond)).To(BeNumerically("<=", limit))
	}
	return total
}
