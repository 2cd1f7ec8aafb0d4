package keeper

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/reducer"
)

const yieldTimeout = 2 * time.Second

// YieldRequest asks a former home to stop admitting requests to a unit that moved at a log offset.
type YieldRequest struct {
	Incarnation string
	Unit        string
	Offset      int64
}

// YieldAnswer tells whether the former home has stopped admission to the unit, or its incarnation no longer runs; Handoff is the load that it counted if no other home could admit requests.
type YieldAnswer struct {
	Yielded bool
	Gone    bool
	Handoff *admitter.Handoff
}

// takeover tracks which former homes of a unit have confirmed that they admit no more requests.
type takeover struct {
	since         int64
	startedAt     time.Time
	confirmed     map[string]bool
	requesting    bool
	nextRequestAt time.Time
	handoff       *admitter.Handoff
}

// claim tells whether a home knows that no other entry admits requests to its unit: with claimSole it may use the whole limit, with claimShared its half of the limit, and with claimNone it admits nothing.
type claim int

const (
	claimNone claim = iota
	claimShared
	claimSole
)

// evaluateClaim returns the claim on a unit, and asks its former homes to yield unless all of them have confirmed.
func (kee *Keeper) evaluateClaim(ctx context.Context, unit string, hom reducer.Home) claim {
	kee.mtx.Lock()
	defer kee.mtx.Unlock()
	tak := kee.takeovers[unit]
	if tak == nil || tak.since != hom.SinceOffset {
		tak = &takeover{since: hom.SinceOffset, startedAt: kee.opt.Clock.Now(), confirmed: map[string]bool{}}
		kee.takeovers[unit] = tak
	}
	if tak.allConfirmed(hom) {
		return claimSole
	}
	if !tak.requesting && !kee.opt.Clock.Now().Before(tak.nextRequestAt) {
		tak.requesting = true
		kee.opt.Spawn(func() { kee.requestYields(ctx, unit, hom, tak) })
	}
	if kee.quorumDuration(tak.startedAt) > kee.opt.TakeoverAfter {
		return claimShared
	}
	return claimNone
}

// quorumDuration returns how long this entry has been in contact with the log and most peers, counted from the given time at the earliest.
// A former home that continues without the log needs contact with most peers too, so one of them has told it of the move by the time that TakeoverAfter has passed.
func (kee *Keeper) quorumDuration(from time.Time) time.Duration {
	if kee.quorumSince.IsZero() {
		return 0
	}
	if kee.quorumSince.After(from) {
		from = kee.quorumSince
	}
	return kee.opt.Clock.Since(from)
}

func (kee *Keeper) trackQuorum(major bool) {
	kee.mtx.Lock()
	defer kee.mtx.Unlock()
	switch {
	case !major:
		kee.quorumSince = time.Time{}
	case kee.quorumSince.IsZero():
		kee.quorumSince = kee.opt.Clock.Now()
	}
}

// takeHandoff returns the load that a former home handed over and clears it, so that it is used once.
func (kee *Keeper) takeHandoff(unit string) *admitter.Handoff {
	kee.mtx.Lock()
	defer kee.mtx.Unlock()
	tak := kee.takeovers[unit]
	if tak == nil {
		return nil
	}
	han := tak.handoff
	tak.handoff = nil
	return han
}

func (tak *takeover) allConfirmed(hom reducer.Home) bool {
	for _, inc := range hom.Former {
		if !tak.confirmed[inc] {
			return false
		}
	}
	return true
}

func (kee *Keeper) requestYields(ctx context.Context, unit string, hom reducer.Home, tak *takeover) {
	vie := kee.opt.View()
	for _, inc := range hom.Former {
		ans, err := kee.requestYield(ctx, vie, YieldRequest{Incarnation: inc, Unit: unit, Offset: hom.SinceOffset})
		if err != nil || !ans.Yielded && !ans.Gone {
			continue
		}
		kee.mtx.Lock()
		tak.confirmed[inc] = true
		if ans.Handoff != nil && ans.Handoff.Term == hom.SinceOffset {
			tak.handoff = ans.Handoff
		}
		kee.mtx.Unlock()
	}
	kee.mtx.Lock()
	tak.requesting = false
	tak.nextRequestAt = kee.opt.Clock.Now().Add(kee.opt.Interval / 2)
	kee.mtx.Unlock()
	kee.wake()
}

// requestYield asks one former home to yield. A refused connection means that no process listens on its address: the kernel still accepts
// connections for a paused process, and an entry that the network cuts off does not answer at all.
func (kee *Keeper) requestYield(ctx context.Context, vie *reducer.View, req YieldRequest) (YieldAnswer, error) {
	address := vie.Departed[req.Incarnation].RPCAddress
	if mem, live := vie.Members[req.Incarnation]; live {
		address = mem.RPCAddress
	}
	ctx, stop := context.WithTimeout(ctx, yieldTimeout)
	defer stop()
	ans, err := kee.opt.Yield(ctx, address, req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return YieldAnswer{Gone: true}, nil
	}
	return ans, err
}

// Yield stops admission to a unit, once this entry has applied the log up to the offset at which the unit moved.
func (kee *Keeper) Yield(ctx context.Context, req YieldRequest) YieldAnswer {
	ctx, stop := context.WithTimeout(ctx, yieldTimeout/2)
	defer stop()
	for {
		changed := kee.opt.Changed()
		if req.Incarnation != kee.opt.Self() {
			return YieldAnswer{Gone: true}
		}
		if kee.opt.View().Offset >= req.Offset {
			kee.UpdateUnits(ctx)
			return YieldAnswer{Yielded: true, Handoff: kee.handoff(req.Unit)}
		}
		select {
		case <-ctx.Done():
			return YieldAnswer{}
		case <-changed:
		}
	}
}

func (kee *Keeper) handoff(unit string) *admitter.Handoff {
	kee.updating.Lock()
	defer kee.updating.Unlock()
	han, given := kee.handoffs[unit]
	if !given {
		return nil
	}
	return &han
}
