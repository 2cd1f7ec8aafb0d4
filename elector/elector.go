package elector

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// renewals is how often a lease is renewed within its time to live.
const renewals = 3

// Lease is held by at most one entry most of the time.
type Lease interface {
	// Acquire takes or renews the lease for ttl and reports whether this entry holds it.
	Acquire(ctx context.Context, ttl time.Duration) (bool, error)
	// Release gives the lease up.
	Release(ctx context.Context) error
}

// Options are what an elector needs; Stands reports whether this entry is to lead if it can, TTL is the time to live of the lease.
type Options struct {
	Lease       Lease
	IsCandidate func() bool
	TTL         time.Duration
	Clock       clockwork.Clock
	Logger      *logrus.Entry
}

// Elector knows whether this entry leads; it is safe for concurrent use.
type Elector struct {
	opt   Options
	until atomic.Pointer[time.Time]
}

// New returns an elector that does not lead.
func New(opt Options) *Elector {
	return &Elector{opt: opt}
}

// IsLeader reports whether this entry holds the lease by its own steady clock.
func (ele *Elector) IsLeader() bool {
	until := ele.until.Load()
	return until != nil && ele.opt.Clock.Now().Before(*until)
}

// Run claims the lease until the context ends.
func (ele *Elector) Run(ctx context.Context) {
	tic := ele.opt.Clock.NewTicker(ele.opt.TTL / renewals)
	defer tic.Stop()
	for {
		ele.TryAcquire(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tic.Chan():
		}
	}
}

// TryAcquire claims the lease once.
func (ele *Elector) TryAcquire(ctx context.Context) {
	led := ele.IsLeader()
	if !led && !ele.opt.IsCandidate() {
		return
	}
	now := ele.opt.Clock.Now()
	held, err := ele.opt.Lease.Acquire(ctx, ele.opt.TTL)
	if err != nil {
		ele.opt.Logger.WithError(err).Debug("lease could not be claimed")
		return
	}
	if held {
		// The lease runs from before the call, so that it ends here no later than at the store.
		until := now.Add(ele.opt.TTL)
		ele.until.Store(&until)
	} else {
		ele.until.Store(nil)
	}
	if held != led {
		ele.opt.Logger.WithField("leads", held).Info("leadership changed")
	}
}

// Resign gives the lease up.
func (ele *Elector) Resign(ctx context.Context) {
	ele.until.Store(nil)
	if err := ele.opt.Lease.Release(ctx); err != nil {
		ele.opt.Logger.WithError(err).Info("lease could not be given up, it runs out by itself")
	}
}
