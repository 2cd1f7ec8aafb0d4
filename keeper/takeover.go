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

// YieldRequest asks a former home to admit nothing more to a unit, as of an offset.
type YieldRequest struct {
	Incarnation string
	Unit        string
	Offset      int64
}

// YieldAnswer says that the former home has given the unit up, or that the incarnation no longer runs; Handoff is what a former home that was sole knew of the load.
type YieldAnswer struct {
	Yielded bool
	Gone    bool
	Handoff *admitter.Handoff
}

// takeover is what a home knows of the former homes of a unit.
type takeover struct {
	since     int64
	began     time.Time
	confirmed map[string]bool
	asking    bool
	askAt     time.Time
	handoff   *admitter.Handoff
}

// claim tells how sure this home of a unit is that no other entry admits to it.
type claim int

const (
	claimNone claim = iota
	claimHalf
	claimSole
)

// claimOn judges the claim on a unit and asks the former homes that have not confirmed.
func (kee *Keeper) claimOn(ctx context.Context, unit string, hom reducer.Home) claim {
	kee.mtx.Lock()
	defer kee.mtx.Unlock()
	tak := kee.takeovers[unit]
	if tak == nil || tak.since != hom.Since {
		tak = &takeover{since: hom.Since, began: kee.opt.Clock.Now(), confirmed: map[string]bool{}}
		kee.takeovers[unit] = tak
	}
	if tak.complete(hom) {
		return claimSole
	}
	if !tak.asking && !kee.opt.Clock.Now().Before(tak.askAt) {
		tak.asking = true
		kee.opt.Spawn(func() { kee.askFormer(ctx, unit, hom, tak) })
	}
	if kee.majorFor(tak.began) > kee.opt.TakeoverAfter {
		return claimHalf
	}
	return claimNone
}

// majorFor is how long this entry has been in contact with the log and most peers, counted from a time at the earliest.
// A former home that goes on without the log has most peers too, so by then one of them has told it that it is home no more.
func (kee *Keeper) majorFor(from time.Time) time.Duration {
	if kee.majorSince.IsZero() {
		return 0
	}
	if kee.majorSince.After(from) {
		from = kee.majorSince
	}
	return kee.opt.Clock.Since(from)
}

func (kee *Keeper) noteMajor(major bool) {
	kee.mtx.Lock()
	defer kee.mtx.Unlock()
	switch {
	case !major:
		kee.majorSince = time.Time{}
	case kee.majorSince.IsZero():
		kee.majorSince = kee.opt.Clock.Now()
	}
}

// takeHandoff returns what the last former home knew of a unit, once.
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

func (tak *takeover) complete(hom reducer.Home) bool {
	for _, inc := range hom.Former {
		if !tak.confirmed[inc] {
			return false
		}
	}
	return true
}

func (kee *Keeper) askFormer(ctx context.Context, unit string, hom reducer.Home, tak *takeover) {
	vie := kee.opt.View()
	for _, inc := range hom.Former {
		ans, err := kee.askOne(ctx, vie, YieldRequest{Incarnation: inc, Unit: unit, Offset: hom.Since})
		if err != nil || !ans.Yielded && !ans.Gone {
			continue
		}
		kee.mtx.Lock()
		tak.confirmed[inc] = true
		if ans.Handoff != nil && ans.Handoff.Term == hom.Since {
			tak.handoff = ans.Handoff
		}
		kee.mtx.Unlock()
	}
	kee.mtx.Lock()
	tak.asking = false
	tak.askAt = kee.opt.Clock.Now().Add(kee.opt.Interval / 2)
	kee.mtx.Unlock()
	kee.nudge()
}

// askOne asks one former home. A refused connection means that no process listens there any more: one that is paused still has its
// connections accepted, and one that is cut off does not answer.
func (kee *Keeper) askOne(ctx context.Context, vie *reducer.View, req YieldRequest) (YieldAnswer, error) {
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

// Yield gives a unit up once this entry has folded the offset at which it moved.
func (kee *Keeper) Yield(ctx context.Context, req YieldRequest) YieldAnswer {
	ctx, stop := context.WithTimeout(ctx, yieldTimeout/2)
	defer stop()
	for {
		changed := kee.opt.Changed()
		if req.Incarnation != kee.opt.Self() {
			return YieldAnswer{Gone: true}
		}
		if kee.opt.View().Offset >= req.Offset {
			kee.Round(ctx)
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
	kee.rounds.Lock()
	defer kee.rounds.Unlock()
	han, given := kee.handoffs[unit]
	if !given {
		return nil
	}
	return &han
}
