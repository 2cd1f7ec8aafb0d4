package elector_test

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/elector"
)

const ttl = 1500 * time.Millisecond

// lease is a fake lease with preset answers.
type lease struct {
	held     bool
	err      error
	callTime time.Duration
	clk      *clockwork.FakeClock
	calls    int
	releases int
	// during is called while the lease is being acquired, unless it is nil.
	during func()
}

func (lea *lease) Acquire(context.Context, time.Duration) (bool, error) {
	lea.calls++
	lea.clk.Advance(lea.callTime)
	if lea.during != nil {
		lea.during()
	}
	return lea.held, lea.err
}

func (lea *lease) Release(context.Context) error {
	lea.releases++
	return nil
}

var _ = Describe("Elector", func() {
	var clk *clockwork.FakeClock
	var lea *lease
	var candidate, otherLeads, fit bool
	var preferred int
	var ele *elector.Elector
	BeforeEach(func() {
		clk, candidate, otherLeads, fit, preferred = clockwork.NewFakeClock(), true, false, true, 0
		lea = &lease{held: true, clk: clk}
		log := logrus.New()
		log.SetOutput(io.Discard)
		ele = elector.New(elector.Options{Lease: lea, TTL: ttl, Clock: clk, Logger: log.WithField("test", true), IsCandidate: func() bool { return candidate }, IsFit: func() bool { return fit }, OtherLeads: func() bool { return otherLeads }, Preferred: func() int { return preferred }})
		ele.TryAcquire(context.Background())
		clk.Advance(ttl)
	})

	It("is the leader until the lease expires, counted from before the call", func() {
		lea.callTime = time.Second
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
		clk.Advance(ttl - time.Second)
		Expect(ele.IsLeader()).To(BeFalse())
	})

	// Guards against a leader that takes all groups for lost because it reaches no backend server.
	It("gives the lease up and does not ask for it while it is not fit", func() {
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
		fit = false
		for range 10 {
			clk.Advance(ttl / 3)
			calls := lea.calls
			ele.TryAcquire(context.Background())
			Expect(ele.IsLeader()).To(BeFalse())
			Expect(lea.calls).To(Equal(calls))
		}
		Expect(lea.releases).To(Equal(1))
		fit = true
		ele.TryAcquire(context.Background())
		clk.Advance(ttl)
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
	})

	It("remains the leader without the store until the lease expires, and no longer", func() {
		ele.TryAcquire(context.Background())
		lea.err = errors.New("down")
		clk.Advance(ttl / 2)
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
		clk.Advance(ttl / 2)
		Expect(ele.IsLeader()).To(BeFalse())
	})

	It("stops being the leader at once when another entry holds the lease", func() {
		ele.TryAcquire(context.Background())
		lea.held = false
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeFalse())
	})

	// Guards against seconds without a leader (SHORT): entries that were candidates for a moment took the lease with them.
	It("asks for the lease only after it has been a candidate for one TTL without a break", func() {
		Expect(lea.calls).To(BeZero())
		for range 5 {
			candidate = false
			ele.TryAcquire(context.Background())
			candidate = true
			ele.TryAcquire(context.Background())
			clk.Advance(ttl - time.Millisecond)
			ele.TryAcquire(context.Background())
		}
		Expect(lea.calls).To(BeZero())
		clk.Advance(time.Millisecond)
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
	})

	It("releases the lease once when it stops being a candidate, unless it is the leader", func() {
		lea.held = false
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(Equal(1))
		candidate = false
		for range 3 {
			ele.TryAcquire(context.Background())
		}
		Expect(lea.calls).To(Equal(1))
		Expect(lea.releases).To(Equal(1))
	})

	// Guards against a leader that loses its lease to an entry that has just started, and gives up all groups that are being formed.
	It("does not ask for the lease while another entry leads, and leaves it to that one", func() {
		otherLeads = true
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(BeZero())
		otherLeads = false
		lea.held = false
		ele.TryAcquire(context.Background())
		otherLeads = true
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(Equal(1))
		Expect(lea.releases).To(Equal(1))
	})

	It("asks for the lease later than a preferred candidate", func() {
		preferred = 1
		ele.TryAcquire(context.Background())
		clk.Advance(ttl/2 - time.Millisecond)
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(BeZero())
		clk.Advance(time.Millisecond)
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(Equal(1))
	})

	It("renews the lease that it holds although another entry says that it leads", func() {
		ele.TryAcquire(context.Background())
		otherLeads = true
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(Equal(2))
		Expect(ele.IsLeader()).To(BeTrue())
	})

	It("does not ask for the lease again after it has resigned", func() {
		ele.TryAcquire(context.Background())
		ele.Resign(context.Background())
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeFalse())
		Expect(lea.calls).To(Equal(1))
		Expect(lea.releases).To(Equal(1))
	})

	It("gives the lease back that it is granted while it resigns", func() {
		lea.during = func() { ele.Resign(context.Background()) }
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeFalse())
		Expect(lea.releases).To(Equal(2))
	})

	It("does not acquire the lease while it is no candidate, unless it is the leader", func() {
		candidate = false
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(BeZero())
		candidate = true
		ele.TryAcquire(context.Background())
		clk.Advance(ttl)
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
		candidate = false
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(Equal(2))
	})
})
