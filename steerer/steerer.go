package steerer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshener"
	"github.com/lovagelever/lovagelever/orderer"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	roundEvery    = 500 * time.Millisecond
	appendTimeout = 5 * time.Second
	// settle is how long a new controller watches before it decides, so that health has been told.
	settle = 3 * time.Second
)

// Appender appends records.
type Appender interface {
	Append(ctx context.Context, rec recorder.Record) (follower.Judged, error)
}

// OrderSender sends orders to engines.
type OrderSender interface {
	Send(ctx context.Context, address string, one orderer.Order) error
}

// Options are what a steerer needs.
type Options struct {
	View     func() *reducer.View
	Self     func() string
	Standing func() freshener.Standing
	Observe  func(vie *reducer.View) planner.Observations
	Appender Appender
	Orders   OrderSender
	Clock    clockwork.Clock
	Logger   logrus.FieldLogger
	// Planner makes the planner of a region; planner.New when it is nil.
	Planner func(region string) *planner.Planner
}

// Steerer controls the regions that the fold assigns to this entry.
type Steerer struct {
	opt     Options
	terms   map[string]*term
	mtx     sync.Mutex
	reasons map[string]string
}

// term is one unbroken time of control over a region.
type term struct {
	pla   *planner.Planner
	mem   *planner.Memory
	since time.Time
}

// New returns a steerer.
func New(opt Options) *Steerer {
	if opt.Planner == nil {
		opt.Planner = planner.New
	}
	return &Steerer{opt: opt, terms: map[string]*term{}, reasons: map[string]string{}}
}

// Run decides in rounds until the context ends.
func (ste *Steerer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ste.Round(ctx)
		select {
		case <-ctx.Done():
		case <-ste.opt.Clock.After(roundEvery):
		}
	}
}

// Round decides once for each region that this entry controls.
func (ste *Steerer) Round(ctx context.Context) {
	vie := ste.opt.View()
	for region := range ste.terms {
		if vie.Control[region].Incarnation != ste.opt.Self() {
			delete(ste.terms, region)
		}
	}
	if !ste.opt.Standing().MayDecide {
		return
	}
	reasons := map[string]string{}
	for region, mem := range vie.Control {
		if mem.Incarnation == ste.opt.Self() {
			ste.control(ctx, vie, region, reasons)
		}
	}
	ste.mtx.Lock()
	defer ste.mtx.Unlock()
	ste.reasons = reasons
}

// Reasons returns why work waits in the regions that this entry controls.
func (ste *Steerer) Reasons() map[string]string {
	ste.mtx.Lock()
	defer ste.mtx.Unlock()
	return maps.Clone(ste.reasons)
}

func (ste *Steerer) control(ctx context.Context, vie *reducer.View, region string, reasons map[string]string) {
	now := ste.opt.Clock.Now()
	ter, begun := ste.terms[region]
	if !begun {
		ter = &term{pla: ste.opt.Planner(region), mem: planner.NewMemory(), since: now}
		ste.terms[region] = ter
		ste.opt.Logger.WithField("region", region).Info("control begins")
	}
	obs := ste.opt.Observe(vie)
	if now.Sub(ter.since) < settle {
		return
	}
	for _, act := range ter.pla.Plan(now, vie, obs, ter.mem) {
		ste.carryOut(ctx, act)
	}
	maps.Copy(reasons, ter.mem.Reasons())
}

func (ste *Steerer) carryOut(ctx context.Context, act planner.Action) {
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

func (ste *Steerer) propose(ctx context.Context, kind recorder.Kind, group string, body any) {
	log := ste.opt.Logger.WithFields(logrus.Fields{"kind": kind, "group": group})
	rec, err := recorder.New(ste.opt.Clock.Now(), kind, ste.opt.Self(), body)
	if err != nil {
		log.WithError(err).Error("record not made")
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(ctx, appendTimeout)
		defer stop()
		jud, err := ste.opt.Appender.Append(ctx, rec)
		if err != nil {
			log.WithError(err).Warn("record not settled")
			return
		}
		log.WithFields(logrus.Fields{"offset": jud.Offset, "reason": jud.Reason}).Info("record judged")
	}()
}
