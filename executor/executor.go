package executor

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/enginecaller"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	roundInterval = 500 * time.Millisecond
	appendTimeout = 5 * time.Second
	// warmUp is how long a new controller observes before it decides, so that health reports have arrived.
	warmUp = 3 * time.Second
)

// Appender appends records to the log.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Verdict, error)
}

// OrderSender sends orders to engines.
type OrderSender interface {
	Send(ctx context.Context, address string, one enginecaller.Order) error
}

// Options configures an executor.
type Options struct {
	View      func() *reducer.View
	Self      func() string
	Freshness func() freshnesschecker.Freshness
	Observe   func(vie *reducer.View) planner.Observations
	Appender  Appender
	Orders    OrderSender
	Clock     clockwork.Clock
	Logger    logrus.FieldLogger
	// Planner creates the planner of a region. The default is planner.New.
	Planner func(region string) *planner.Planner
}

// Executor controls the regions that the replicated state assigns to this entry.
type Executor struct {
	opt     Options
	terms   map[string]*term
	mtx     sync.Mutex
	reasons map[string]string
}

// term is an uninterrupted period of control over a region.
type term struct {
	pla   *planner.Planner
	mem   *planner.Memory
	since time.Time
}

// New returns an executor.
func New(opt Options) *Executor {
	if opt.Planner == nil {
		opt.Planner = planner.New
	}
	return &Executor{opt: opt, terms: map[string]*term{}, reasons: map[string]string{}}
}

// Run calls Round periodically until the context ends.
func (ste *Executor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ste.Round(ctx)
		select {
		case <-ctx.Done():
		case <-ste.opt.Clock.After(roundInterval):
		}
	}
}

// Round plans once for each region that this entry controls and starts the resulting actions.
func (ste *Executor) Round(ctx context.Context) {
	vie := ste.opt.View()
	for region := range ste.terms {
		if vie.Controllers[region].Incarnation != ste.opt.Self() {
			delete(ste.terms, region)
		}
	}
	if !ste.opt.Freshness().MayDecide {
		return
	}
	reasons := map[string]string{}
	for region, mem := range vie.Controllers {
		if mem.Incarnation == ste.opt.Self() {
			ste.control(ctx, vie, region, reasons)
		}
	}
	ste.mtx.Lock()
	defer ste.mtx.Unlock()
	ste.reasons = reasons
}

// Reasons returns why work is waiting in the regions that this entry controls.
func (ste *Executor) Reasons() map[string]string {
	ste.mtx.Lock()
	defer ste.mtx.Unlock()
	return maps.Clone(ste.reasons)
}

func (ste *Executor) control(ctx context.Context, vie *reducer.View, region string, reasons map[string]string) {
	now := ste.opt.Clock.Now()
	ter, found := ste.terms[region]
	if !found {
		ter = &term{pla: ste.opt.Planner(region), mem: planner.NewMemory(), since: now}
		ste.terms[region] = ter
		ste.opt.Logger.WithField("region", region).Info("took control of the region")
	}
	obs := ste.opt.Observe(vie)
	if now.Sub(ter.since) < warmUp {
		return
	}
	for _, act := range ter.pla.Plan(now, vie, obs, ter.mem) {
		ste.execute(ctx, act)
	}
	maps.Copy(reasons, ter.mem.Reasons())
}

func (ste *Executor) execute(ctx context.Context, act planner.Action) {
	switch {
	case act.Form != nil:
		ste.propose(ctx, recorder.KindForm, act.Form.Group, *act.Form)
	case act.Quiesce != nil:
		ste.propose(ctx, recorder.KindQuiesce, act.Quiesce.Group, *act.Quiesce)
	case act.Retire != nil:
		ste.propose(ctx, recorder.KindRetire, act.Retire.Group, *act.Retire)
	default:
		ste.order(ctx, act)
	}
}

func (ste *Executor) propose(ctx context.Context, kind recorder.Kind, group string, body any) {
	log := ste.opt.Logger.WithFields(logrus.Fields{"kind": kind, "group": group})
	rec, err := recorder.New(ste.opt.Clock.Now(), kind, ste.opt.Self(), body)
	if err != nil {
		log.WithError(err).Error("could not encode the record")
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(ctx, appendTimeout)
		defer stop()
		jud, err := ste.opt.Appender.Append(ctx, rec)
		if err != nil {
			log.WithError(err).Warn("could not append the record, or its outcome is unknown")
			return
		}
		log.WithFields(logrus.Fields{"offset": jud.Offset, "reason": jud.Reason}).Info("record appended and evaluated")
	}()
}
