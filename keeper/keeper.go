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
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

const updateInterval = 500 * time.Millisecond

// Facts exchanges facts with the other entries.
type Facts interface {
	Set(subject string, body []byte)
	Get(subject, origin string) ([]byte, bool)
	All(prefix string) []gossiper.Fact
}

// Stager returns the stage of a unit, and the reason if it does not serve.
type Stager interface {
	Stage(vie *reducer.View, unit string) (watcher.Stage, string)
	Prober() *prober.Prober
}

// Options configure a keeper: Interval is the probe interval, half of which passes between two requests to a former home to yield, TakeoverAfter is how long a former home that does not answer keeps this one from admitting its half of the limit, and Spawn starts a call in the background.
type Options struct {
	View          func() *reducer.View
	Changed       func() <-chan struct{}
	Self          func() string
	Freshness     func() freshnesschecker.Freshness
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

// Keeper manages the units whose home is one entry.
type Keeper struct {
	opt       Options
	woken     chan struct{}
	updating  sync.Mutex
	managed   map[string]bool
	reclaimed map[string]bool
	handoffs  map[string]admitter.Handoff
	published map[string]publishedStatus

	mtx         sync.Mutex
	takeovers   map[string]*takeover
	quorumSince time.Time
}

// New returns a keeper that manages no units yet.
func New(opt Options) *Keeper {
	return &Keeper{
		opt:       opt,
		woken:     make(chan struct{}, 1),
		managed:   map[string]bool{},
		reclaimed: map[string]bool{},
		handoffs:  map[string]admitter.Handoff{},
		published: map[string]publishedStatus{},
		takeovers: map[string]*takeover{},
	}
}

// Run updates the units periodically and whenever the log state changes, until the context ends.
func (kee *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := kee.opt.Changed()
		kee.UpdateUnits(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-kee.woken:
		case <-kee.opt.Clock.After(updateInterval):
		}
	}
}

func (kee *Keeper) wake() {
	select {
	case kee.woken <- struct{}{}:
	default:
	}
}

// UpdateUnits updates every unit whose home is or was this entry.
func (kee *Keeper) UpdateUnits(ctx context.Context) {
	kee.updating.Lock()
	defer kee.updating.Unlock()
	vie := kee.opt.View()
	sta := kee.opt.Freshness()
	kee.trackQuorum(sta.MayPublish)
	ownUnits := map[string]bool{}
	for _, unit := range slices.Sorted(maps.Keys(vie.Homes)) {
		hom := vie.Homes[unit]
		if hom.Incarnation == kee.opt.Self() && kee.exists(vie, unit) {
			ownUnits[unit] = true
			kee.updateUnit(ctx, vie, sta, unit, hom)
		}
	}
	for unit := range kee.managed {
		if !ownUnits[unit] {
			delete(kee.published, unit)
			kee.releaseUnit(unit, vie.Homes[unit])
		}
	}
	kee.reclaimEvicted(vie)
}

func (kee *Keeper) exists(vie *reducer.View, unit string) bool {
	_, known := unitConfig(vie, unit)
	return known
}

func (kee *Keeper) updateUnit(ctx context.Context, vie *reducer.View, sta freshnesschecker.Freshness, unit string, hom reducer.Home) {
	cfg, _ := unitConfig(vie, unit)
	stage, reason := kee.opt.Stager.Stage(vie, unit)
	cfg.State = stateOf(stage, kee.evaluateClaim(ctx, unit, hom), sta)
	cfg.Term = hom.SinceOffset
	cfg.NoPriorAdmissions = len(hom.Former) == 0 && hom.SinceOffset == cfg.Fence
	kee.managed[unit] = true
	delete(kee.handoffs, unit)
	kee.opt.Admitter.Update(cfg)
	if cfg.State == admitter.Serving {
		kee.applyHandoff(unit)
	}
	if stage == watcher.StageServing && cfg.State == admitter.NotHome {
		stage, reason = watcher.StageTakeover, "its home may not admit requests yet"
	}
	kee.publish(unit, stage, reason)
}

// applyHandoff starts from the load that the former home handed over; without a handoff the unit waits for load reports.
func (kee *Keeper) applyHandoff(unit string) {
	han := kee.takeHandoff(unit)
	if han == nil {
		return
	}
	if err := kee.opt.Admitter.TakeOver(*han); err != nil {
		kee.opt.Logger.WithError(err).WithField("unit", unit).Debug("handoff rejected")
	}
}

// stateOf returns the admission state of a unit; until all former homes have confirmed, the home admits at most its half of the limit.
func stateOf(stage watcher.Stage, cla claim, sta freshnesschecker.Freshness) admitter.State {
	switch {
	case stage == watcher.StageQuiesced:
		return admitter.Quiesced
	case stage == watcher.StageZoneOut:
		return admitter.ZoneDisabled
	case stage != watcher.StageServing || !sta.Fresh || cla == claimNone:
		return admitter.NotHome
	case cla == claimSole:
		return admitter.Serving
	case sta.MayPublish:
		return admitter.UncertainSuccessor
	default:
		return admitter.NotHome
	}
}

// releaseUnit stops admission to a unit that has moved, and keeps the handoff until the new home asks for it.
func (kee *Keeper) releaseUnit(unit string, hom reducer.Home) {
	if kee.handoffs[unit].Term != hom.SinceOffset {
		if han, err := kee.opt.Admitter.HandOver(unit, hom.SinceOffset); err == nil {
			kee.handoffs[unit] = han
		}
	}
	sta, known := kee.opt.Admitter.Status(unit)
	if !known || sta.Running == 0 {
		kee.opt.Admitter.Remove(unit)
		delete(kee.managed, unit)
		kee.mtx.Lock()
		delete(kee.takeovers, unit)
		kee.mtx.Unlock()
	}
}

func (kee *Keeper) reclaimEvicted(vie *reducer.View) {
	for inc, dep := range vie.Departed {
		if dep.Evicted && !kee.reclaimed[inc] {
			kee.reclaimed[inc] = true
			kee.opt.Admitter.DropHolder(inc)
		}
	}
	for inc := range kee.reclaimed {
		if _, known := vie.Departed[inc]; !known {
			delete(kee.reclaimed, inc)
		}
	}
}

// OnReport passes the load of a backend server to the admitter; a failing probe triggers an update of the units instead.
func (kee *Keeper) OnReport(unit string, pro prober.Probe) {
	if !pro.FailingSince.IsZero() {
		kee.wake()
		return
	}
	sta := pro.Status
	kee.opt.Admitter.Report(unit, limiter.Report{
		At:      pro.LastSuccess,
		Running: sta.Running,
		Queued:  sta.Queued,
		Warm:    sta.Warm,
		Started: sta.Started,
	})
}

func unitConfig(vie *reducer.View, unit string) (admitter.Config, bool) {
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
