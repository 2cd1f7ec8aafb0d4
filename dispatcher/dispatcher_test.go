package dispatcher_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
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
		fix.dis.SetRemoteLoad("other", map[string]int{"a": 2})
		cha := fix.acquireAsync(fix.request("1"))
		Eventually(fix.waiting).Should(Equal(1))
		fix.dis.SetRemoteLoad("other", nil)
		Eventually(cha).Should(Receive(Not(BeNil())))
	})

	It("limits requests to a cold unit to the entry's share of its rate", func() {
		cold := unit("a", "z", 100)
		cold.ColdPerSecond, cold.ColdUntil = 10, time.Now().Add(time.Hour)
		fix := newFixture()
		fix.dis.SetEntries(5)
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
