package elector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

// renewalsPerTTL is the number of renewals of a lease within its time to live.
const renewalsPerTTL = 3

// Lease is a lease that at most one entry holds most of the time. It does not guarantee exclusion.
type Lease interface {
	// Acquire acquires or renews the lease for ttl and reports whether this entry holds it.
	Acquire(ctx context.Context, ttl time.Duration) (bool, error)
	// Release releases the lease.
	Release(ctx context.Context) error
}

// Options configures an elector. IsCandidate reports whether this entry is a candidate, IsFit whether it may lead at all, OtherLeads whether another entry has recently said that it is the leader, and TTL is the time to live of the lease. An entry asks for the lease once it has been a candidate for TTL without a break, and for half of TTL more for each candidate that is preferred to it, while no other entry leads: each entry that begins or stops to ask may move the lease.
type Options struct {
	Lease       Lease
	IsCandidate func() bool
	IsFit       func() bool
	// Preferred returns how many candidates are preferred to this one.
	Preferred  func() int
	OtherLeads func() bool
	TTL        time.Duration
	Clock      clockwork.Clock
	Logger     *logrus.Entry
}

// Elector tracks whether this entry is the leader. It is safe for concurrent use.
type Elector struct {
	opt      Options
	leaseEnd atomic.Pointer[time.Time]

	mux sync.Mutex
	// candidateSince is zero while this entry is no candidate.
	candidateSince time.Time
	// asked is set from the first call for the lease until its release.
	asked bool
	// resigned is set once this entry has given the lease up for good.
	resigned bool
}

// New returns an elector that is not the leader.
func New(opt Options) *Elector {
	return &Elector{opt: opt}
}

// IsLeader reports whether this entry holds the lease according to its own monotonic clock.
func (ele *Elector) IsLeader() bool {
	until := ele.leaseEnd.Load()
	return until != nil && ele.opt.Clock.Now().Before(*until)
}

// Run acquires and renews the lease until the context ends.
func (ele *Elector) Run(ctx context.Context) {
	tic := ele.opt.Clock.NewTicker(ele.opt.TTL / renewalsPerTTL)
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

// TryAcquire tries once to acquire or renew the lease.
func (ele *Elector) TryAcquire(ctx context.Context) {
	led := ele.IsLeader()
	now := ele.opt.Clock.Now()
	ask, release := ele.next(led, now)
	if release {
		ele.leaseEnd.Store(nil)
		ele.release(ctx)
	}
	if led && !ask {
		ele.opt.Logger.WithField("leads", false).Info("leadership changed")
	}
	if !ask {
		return
	}
	held, err := ele.opt.Lease.Acquire(ctx, ele.opt.TTL)
	if err != nil {
		ele.opt.Logger.WithError(err).Debug("could not acquire or renew the lease")
		return
	}
	if held && ele.hasResigned() {
		ele.release(ctx)
		return
	}
	if held {
		// The lease is counted from before the call, so that it expires here no later than at the store.
		until := now.Add(ele.opt.TTL)
		ele.leaseEnd.Store(&until)
	} else {
		ele.leaseEnd.Store(nil)
	}
	if held != led {
		ele.opt.Logger.WithField("leads", held).Info("leadership changed")
	}
}

// next reports whether to ask for the lease now, and whether to release it because this entry is not fit, is no candidate any longer, or another one leads.
func (ele *Elector) next(led bool, now time.Time) (ask, release bool) {
	fit := ele.opt.IsFit()
	candidate := fit && ele.opt.IsCandidate()
	ele.mux.Lock()
	defer ele.mux.Unlock()
	if ele.resigned {
		return false, false
	}
	if !candidate {
		ele.candidateSince = time.Time{}
	} else if ele.candidateSince.IsZero() {
		ele.candidateSince = now
	}
	wait := ele.opt.TTL + time.Duration(ele.opt.Preferred())*ele.opt.TTL/2
	ask = led && fit || candidate && now.Sub(ele.candidateSince) >= wait && !ele.opt.OtherLeads()
	release = ele.asked && !ask
	ele.asked = ask
	return ask, release
}

func (ele *Elector) hasResigned() bool {
	ele.mux.Lock()
	defer ele.mux.Unlock()
	return ele.resigned
}

// Resign releases the lease; this entry does not ask for it again.
func (ele *Elector) Resign(ctx context.Context) {
	ele.mux.Lock()
	ele.resigned = true
	ele.mux.Unlock()
	ele.leaseEnd.Store(nil)
	ele.release(ctx)
}

func (ele *Elector) release(ctx context.Context) {
	if err := ele.opt.Lease.Release(ctx); err != nil {
		ele.opt.Logger.WithError(err).Info("could not release the lease; it will expire")
	}
}
