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

// world is a dispatcher in zone z with a clock that stands still.
type world struct {
	clk *clockwork.FakeClock
	dis *dispatcher.Dispatcher
}

func newWorld(units ...dispatcher.Unit) *world {
	clk := clockwork.NewFakeClock()
	wor := &world{clk: clk, dis: dispatcher.New(dispatcher.Options{
		Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}),
	})}
	wor.dis.SetUnits(units)
	return wor
}

func (wor *world) request(id string, exclude ...string) dispatcher.Request {
	return dispatcher.Request{
		ID: id, Pool: pool, Workspace: "w-" + id, Cost: 1, Exclude: exclude,
		StartBy: wor.clk.Now().Add(time.Second), Deadline: wor.clk.Now().Add(time.Minute),
	}
}

// ask asks in the background and returns where the place comes to.
func (wor *world) ask(req dispatcher.Request) chan *dispatcher.Place {
	out := make(chan *dispatcher.Place, 1)
	go func() {
		defer GinkgoRecover()
		pla, err := wor.dis.Acquire(context.Background(), req)
		if err == nil {
			out <- pla
		} else {
			close(out)
		}
	}()
	return out
}

func (wor *world) waiting() int {
	return wor.dis.Loads()[pool].Waiting
}

var _ = Describe("Dispatcher", func() {
	It("gives a free place only to a request that may have it", func() {
		wor := newWorld(unit("a", "z", 1), unit("b", "z", 1))
		one := <-wor.ask(wor.request("1"))
		two := <-wor.ask(wor.request("2"))
		held := map[string]*dispatcher.Place{one.Unit.ID: one, two.Unit.ID: two}
		var asked []chan *dispatcher.Place
		for num := range 6 {
			asked = append(asked, wor.ask(wor.request(fmt.Sprint("not-a-", num), "a")), wor.ask(wor.request(fmt.Sprint("not-b-", num), "b")))
		}
		Eventually(wor.waiting).Should(Equal(12))
		held["a"].Release(dispatcher.Outcome{Result: dispatcher.Served})
		granted := 0
		for num, cha := range asked {
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

	It("prefers its own availability zone until that is clearly fuller", func() {
		wor := newWorld(unit("near", "z", 10), unit("far", "y", 10))
		zones := ""
		for num := range 12 {
			pla := <-wor.ask(wor.request(fmt.Sprint(num)))
			zones += pla.Unit.Zone
		}
		Expect(zones).To(HavePrefix("zzz"))
		Expect(zones).To(ContainSubstring("y"))
	})

	It("counts what other entries run", func() {
		wor := newWorld(unit("a", "z", 2))
		wor.dis.SetForeign("other", map[string]int{"a": 2})
		cha := wor.ask(wor.request("1"))
		Eventually(wor.waiting).Should(Equal(1))
		wor.dis.SetForeign("other", nil)
		Eventually(cha).Should(Receive(Not(BeNil())))
	})

	It("sends a cold unit no more than the entry's share of what it bears", func() {
		cold := unit("a", "z", 100)
		cold.ColdPerSecond, cold.ColdUntil = 10, time.Now().Add(time.Hour)
		wor := newWorld()
		wor.dis.SetEntries(5)
		cold.ColdUntil = wor.clk.Now().Add(time.Hour)
		wor.dis.SetUnits([]dispatcher.Unit{cold})
		sent := 0
		const seconds = 10
		for range seconds * 10 {
			wor.clk.Advance(100 * time.Millisecond)
			req := wor.request(fmt.Sprint(sent, wor.clk.Now().UnixMilli()))
			req.StartBy = wor.clk.Now()
			if _, err := wor.dis.Acquire(context.Background(), req); err == nil {
				sent++
			}
		}
		Expect(sent).To(BeNumerically("~", 10*seconds/5, 2))
	})

	DescribeTable("refuses at once, as not run, what cannot be served",
		func(units ...dispatcher.Unit) {
			wor := newWorld(units...)
			_, err := wor.dis.Acquire(context.Background(), wor.request("1", "had"))
			Expect(refuser.From(err).Type).To(Equal(refuser.TypeNotRun))
			Expect(refuser.From(err).RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("no unit"),
		Entry("no unit that has not had it", unit("had", "z", 1)),
		Entry("no unit that serves", dispatcher.Unit{ID: "a", Pool: pool, Slots: 1, Readiness: dispatcher.Stopping}),
	)

	It("tells those that run on a unit when it breaks, and not when it leaves", func() {
		wor := newWorld(unit("a", "z", 2), unit("b", "y", 2))
		one := <-wor.ask(wor.request("1"))
		Expect(one.Unit.ID).To(Equal("a"))
		wor.dis.SetUnits([]dispatcher.Unit{unit("b", "y", 2)})
		Consistently(one.Broken, "50ms").ShouldNot(BeClosed())
		gone := unit("a", "z", 2)
		gone.Readiness = dispatcher.Broken
		wor.dis.SetUnits([]dispatcher.Unit{gone})
		Expect(one.Broken).To(BeClosed())
	})
})
