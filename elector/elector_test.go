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

// lease answers as it is told.
type lease struct {
	held  bool
	err   error
	took  time.Duration
	clk   *clockwork.FakeClock
	calls int
}

func (lea *lease) Acquire(context.Context, time.Duration) (bool, error) {
	lea.calls++
	lea.clk.Advance(lea.took)
	return lea.held, lea.err
}

func (lea *lease) Release(context.Context) error { return nil }

var _ = Describe("Elector", func() {
	var clk *clockwork.FakeClock
	var lea *lease
	var stands bool
	var ele *elector.Elector
	BeforeEach(func() {
		clk, stands = clockwork.NewFakeClock(), true
		lea = &lease{held: true, clk: clk}
		log := logrus.New()
		log.SetOutput(io.Discard)
		ele = elector.New(elector.Options{Lease: lea, TTL: ttl, Clock: clk, Logger: log.WithField("test", true), IsCandidate: func() bool { return stands }})
	})

	It("leads while the lease lasts, counted from before the call", func() {
		lea.took = time.Second
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
		clk.Advance(ttl - time.Second)
		Expect(ele.IsLeader()).To(BeFalse())
	})

	It("goes on leading without the store until the lease ends, and no longer", func() {
		ele.TryAcquire(context.Background())
		lea.err = errors.New("down")
		clk.Advance(ttl / 2)
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeTrue())
		clk.Advance(ttl / 2)
		Expect(ele.IsLeader()).To(BeFalse())
	})

	It("stops at once when another holds the lease", func() {
		ele.TryAcquire(context.Background())
		lea.held = false
		ele.TryAcquire(context.Background())
		Expect(ele.IsLeader()).To(BeFalse())
	})

	It("claims nothing while it does not stand, unless it leads", func() {
		stands = false
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(BeZero())
		stands = true
		ele.TryAcquire(context.Background())
		stands = false
		ele.TryAcquire(context.Background())
		Expect(lea.calls).To(Equal(2))
	})
})
