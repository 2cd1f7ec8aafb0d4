package dispatcher_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
)

// tryNow asks for a slot that is free now, and returns the unit's ID or the refusal.
func (fix *fixture) tryNow(exclude ...string) (string, error) {
	req := fix.request(fmt.Sprint("r", fix.clk.Now().UnixNano()), exclude...)
	req.StartBy = fix.clk.Now()
	pla, err := fix.dis.Acquire(context.Background(), req)
	if err != nil {
		return "", err
	}
	pla.Release(dispatcher.Outcome{Result: dispatcher.Served})
	return pla.Unit.ID, nil
}

var _ = Describe("Dispatcher before a server that wants a pause", func() {
	const pause = 500 * time.Millisecond
	server := func(id string) registrar.Instance { return registrar.Instance{ID: id} }

	cases := []struct {
		name   string
		pauses []time.Duration
		// started is the start time of the unit that is listed after the pauses.
		started int64
		want    time.Duration
	}{
		{"one pause", []time.Duration{pause}, 0, pause},
		{"a shorter one after a longer one", []time.Duration{pause, pause / 2}, 0, pause},
		{"a longer one after a shorter one", []time.Duration{pause / 2, pause}, 0, pause},
		{"a pause that a restart ends", []time.Duration{pause}, 1, 0},
	}
	for _, cas := range cases {
		It("sends it nothing until the end: "+cas.name, func() {
			fix := newFixture(unit("a", "z", 4))
			for _, dur := range cas.pauses {
				fix.dis.Pause(server("a"), dur)
			}
			fix.dis.SetUnits(nil)
			again := unit("a", "z", 4)
			again.ID, again.Started = "a/other-group", cas.started
			fix.dis.SetUnits([]dispatcher.Unit{again})
			if cas.want > 0 {
				_, err := fix.tryNow()
				Expect(refuser.FromError(err).RetryAfter).To(Equal(cas.want))
				fix.clk.Advance(cas.want - 1)
				fix.dis.DispatchWaiting()
				Expect(fix.dis.Paused(again.Instance())).To(BeTrue())
				_, err = fix.tryNow()
				Expect(refuser.FromError(err).RetryAfter).To(Equal(time.Duration(1)))
				fix.clk.Advance(1)
				fix.dis.DispatchWaiting()
			}
			Expect(fix.dis.Paused(again.Instance())).To(BeFalse())
			Expect(fix.tryNow()).To(Equal(again.ID))
		})
	}

	It("uses the other units meanwhile", func() {
		fix := newFixture(unit("a", "z", 4), unit("b", "y", 4))
		fix.dis.Pause(server("a"), pause)
		for range 4 {
			Expect(fix.tryNow()).To(Equal("b"))
			fix.clk.Advance(time.Millisecond)
		}
	})

	// Guards against requests that wait until their deadline for a unit that takes none before.
	It("refuses a request at once that can't start before the end, and has one wait that can", func() {
		for _, late := range []time.Duration{0, 1} {
			fix := newFixture(unit("a", "z", 4))
			fix.dis.Pause(server("a"), pause)
			req := fix.request("r")
			req.StartBy = fix.clk.Now().Add(pause + late)
			if late == 0 {
				_, err := fix.dis.Acquire(context.Background(), req)
				Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
				Expect(refuser.FromError(err).RetryAfter).To(Equal(pause))
				continue
			}
			got := fix.acquireAsync(req)
			Eventually(fix.waiting).Should(Equal(1))
			fix.clk.Advance(pause)
			fix.dis.DispatchWaiting()
			Eventually(got).Should(Receive(Not(BeNil())))
		}
	})

	It("refuses a waiting request at once when the last unit that could start it wants a pause", func() {
		fix := newFixture(unit("a", "z", 1), unit("b", "z", 1))
		Expect(<-fix.acquireAsync(fix.request("1"))).NotTo(BeNil())
		Expect(<-fix.acquireAsync(fix.request("2"))).NotTo(BeNil())
		errs := make(chan error, 1)
		go func() {
			_, err := fix.dis.Acquire(context.Background(), fix.request("3"))
			errs <- err
		}()
		Eventually(fix.waiting).Should(Equal(1))
		fix.dis.Pause(server("a"), 2*time.Second)
		Consistently(errs, "50ms").ShouldNot(Receive())
		fix.dis.Pause(server("b"), 3*time.Second)
		var err error
		Eventually(errs).Should(Receive(&err))
		Expect(refuser.FromError(err).RetryAfter).To(Equal(2 * time.Second))
		Expect(fix.waiting()).To(BeZero())
	})

	DescribeTable("states the rest of the pause to a request that was already sent to the paused unit",
		func(paused []string, want time.Duration) {
			fix := newFixture(unit("a", "z", 4), unit("b", "z", 4))
			for _, id := range paused {
				fix.dis.Pause(server(id), pause)
			}
			_, err := fix.tryNow("a", "b")
			Expect(refuser.FromError(err).RetryAfter).To(Equal(want))
		},
		Entry("every unit is paused", []string{"a", "b"}, pause),
		Entry("another unit is not", []string{"a"}, refuser.DefaultRetryAfter),
	)

	// Guards against a breaker that takes a server for broken because it asked for a pause, or uses up its trial during the pause.
	It("neither opens the unit's circuit nor uses up the trial of a half-open one", func() {
		fix := newFixture(unit("a", "z", 4))
		fault := func(res dispatcher.Result) {
			pla := <-fix.acquireAsync(fix.request("f"))
			pla.Release(dispatcher.Outcome{Result: res})
		}
		for range 10 {
			fault(dispatcher.Rejected)
			fix.dis.Pause(server("a"), pause)
			fix.clk.Advance(pause)
		}
		Expect(fix.tryNow()).To(Equal("a"))
		for range 3 {
			fault(dispatcher.Fault)
		}
		_, err := fix.tryNow()
		Expect(err).To(HaveOccurred())
		fix.dis.Pause(server("a"), 2*time.Second)
		for range 19 {
			fix.clk.Advance(100 * time.Millisecond)
			_, err := fix.tryNow()
			Expect(err).To(HaveOccurred())
		}
		fix.clk.Advance(100 * time.Millisecond)
		Expect(fix.tryNow()).To(Equal("a"))
	})
})
