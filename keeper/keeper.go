package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/freshener"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

const roundEvery = 500 * time.Millisecond

// Facts passes facts between entries.
type Facts interface {
	Set(subject string, body []byte)
	Get(subject, origin string) ([]byte, bool)
	All(prefix string) []gossiper.Fact
}

// Stager judges whether a unit serves.
type Stager interface {
	Stage(vie *reducer.View, unit string) (watcher.Stage, string)
	Prober() *prober.Prober
}

// Options are what a keeper needs; TakeoverAfter is how long a former home that does not answer keeps this one from its half of the limit, and Spawn starts a call in the background.
type Options struct {
	View          func() *reducer.View
	Changed       func() <-chan struct{}
	Self          func() string
	Standing      func() freshener.Standing
	Stager        Stager
	Facts         Facts
	Admitter      *admitter.Admitter
	Yield         func(ctx context.Context, address string, req YieldRequest) (YieldAnswer, error)
	Clock         clockwork.Clock
	Logger        logrus.FieldLogger
	Interval      time.Duration
	TakeoverAfter time.Duration
	Spawn         func(call func())
}

// Keeper keeps the units of one entry.
type Keeper struct {
	opt      Options
	nudged   chan struct{}
	rounds   sync.Mutex
	kept     map[string]bool
	gone     map[string]bool
	handoffs map[string]admitter.Handoff
	told     map[string]told

	mtx        sync.Mutex
	takeovers  map[string]*takeover
	majorSince time.Time
}

// New returns a keeper.
func New(opt Options) *Keeper {
	return &Keeper{
		opt:       opt,
		nudged:    make(chan struct{}, 1),
		kept:      map[string]bool{},
		gone:      map[string]bool{},
		handoffs:  map[string]admitter.Handoff{},
		told:      map[string]told{},
		takeovers: map[string]*takeover{},
	}
}

// Run updates the units until the context ends, at once when the folded state changes.
func (kee *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := kee.opt.Changed()
		kee.Round(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-kee.nudged:
		case <-kee.opt.Clock.After(roundEvery):
		}
	}
}

func (kee *Keeper) nudge() {
	select {
	case kee.nudged <- struct{}{}:
	default:
	}
}

// Round updates every unit that has or had its home here.
func (kee *Keeper) Round(ctx context.Context) {
	kee.rounds.Lock()
	defer kee.rounds.Unlock()
	vie := kee.opt.View()
	sta := kee.opt.Standing()
	kee.noteMajor(sta.MayPublish)
	homed := map[string]bool{}
	for _, unit := range slices.Sorted(maps.Keys(vie.Homes)) {
		hom := vie.Homes[unit]
		if hom.Incarnation == kee.opt.Self() && kee.exists(vie, unit) {
			homed[unit] = true
			kee.keep(ctx, vie, sta, unit, hom)
		}
	}
	for unit := range kee.kept {
		if !homed[unit] {
			delete(kee.told, unit)
			kee.giveUp(unit, vie.Homes[unit])
		}
	}
	kee.forgetEvicted(vie)
}

func (kee *Keeper) exists(vie *reducer.View, unit string) bool {
	_, known := unitLimits(vie, unit)
	return known
}

func (kee *Keeper) keep(ctx context.Context, vie *reducer.View, sta freshener.Standing, unit string, hom reducer.Home) {
	cfg, _ := unitLimits(vie, unit)
	stage, why := kee.opt.Stager.Stage(vie, unit)
	cfg.State = stateOf(stage, kee.claimOn(ctx, unit, hom), sta)
	cfg.Term = hom.Since
	cfg.Untouched = len(hom.Former) == 0 && hom.Since == cfg.Fence
	kee.kept[unit] = true
	delete(kee.handoffs, unit)
	kee.opt.Admitter.Update(cfg)
	if cfg.State == admitter.Serving {
		kee.continueFrom(unit)
	}
	if stage == watcher.StageServing && cfg.State == admitter.NotHome {
		stage, why = watcher.StageTakeover, "its home may not admit yet"
	}
	kee.tell(unit, stage, why)
}

// continueFrom goes on with the load that the former home handed over; without that the unit waits for reports.
func (kee *Keeper) continueFrom(unit string) {
	han := kee.takeHandoff(unit)
	if han == nil {
		return
	}
	if err := kee.opt.Admitter.TakeOver(*han); err != nil {
		kee.opt.Logger.WithError(err).WithField("unit", unit).Debug("handoff not used")
	}
}

// stateOf decides what a home may admit; one whose former homes have not all confirmed keeps at most its half.
func stateOf(stage watcher.Stage, cla claim, sta freshener.Standing) admitter.State {
	switch {
	case stage == watcher.StageQuiesced:
		return admitter.Quiesced
	case stage == watcher.StageZoneOut:
		return admitter.ZoneOut
	case stage != watcher.StageServing || !sta.Fresh || cla == claimNone:
		return admitter.NotHome
	case cla == claimSole:
		return admitter.Serving
	case sta.MayPublish:
		return admitter.UncertainNew
	default:
		return admitter.NotHome
	}
}

// giveUp admits no more to a unit that has moved, and keeps what the new home must know until that asks.
func (kee *Keeper) giveUp(unit string, hom reducer.Home) {
	if kee.handoffs[unit].Term != hom.Since {
		if han, err := kee.opt.Admitter.HandOver(unit, hom.Since); err == nil {
			kee.handoffs[unit] = han
		}
	}
	sta, known := kee.opt.Admitter.Status(unit)
	if !known || sta.Running == 0 {
		kee.opt.Admitter.Remove(unit)
		delete(kee.kept, unit)
		kee.mtx.Lock()
		delete(kee.takeovers, unit)
		kee.mtx.Unlock()
	}
}

func (kee *Keeper) forgetEvicted(vie *reducer.View) {
	for inc, dep := range vie.Departed {
		if dep.Evicted && !kee.gone[inc] {
			kee.gone[inc] = true
			kee.opt.Admitter.Forget(inc)
		}
	}
	for inc := range kee.gone {
		if _, known := vie.Departed[inc]; !known {
			delete(kee.gone, inc)
		}
	}
}

// OnReport passes a backend server's load on to the admission of its unit.
func (kee *Keeper) OnReport(unit string, pro prober.Probe) {
	if !pro.FailingSince.IsZero() {
		kee.nudge()
		return
	}
	sta := pro.Status
	kee.opt.Admitter.Report(unit, limiter.Report{
		At:      pro.Asked,
		Running: sta.Running,
		Queued:  sta.Queued,
		Warm:    sta.Warm,
		Started: sta.Started,
	})
}

func unitLimits(vie *reducer.View, unit string) (admitter.Config, bool) {
	inv := vie.Catalog.Inventory
	if grp, grouped := vie.Groups[unit]; grouped {
		mod := inv.Models[grp.Model]
		return admitter.Config{Name: unit, Fence: grp.Fence, ColdLimit: mod.ColdLimit, WarmLimit: mod.WarmLimit}, true
	}
	vm, known := inv.VMs[unit]
	if !known {
		return admitter.Config{}, false
	}
	ser, known := inv.Services[vm.Service]
	return admitter.Config{Name: unit, ColdLimit: ser.ColdLimit, WarmLimit: ser.WarmLimit}, known
}
