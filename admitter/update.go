package admitter

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// Update adds a unit or changes its configuration; a unit with a new fencing token replaces the old one.
func (adm *Admitter) Update(cfg Config) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[cfg.Name]
	if uni != nil && uni.cfg.Fence != cfg.Fence {
		adm.remove(uni, "the unit was replaced by one with another fencing token")
		uni = nil
	}
	if uni == nil {
		uni = adm.add(cfg)
	}
	uni.cfg = cfg
	uni.limiter.Resize(cfg.ColdLimit, cfg.WarmLimit)
	adm.setState(uni, cfg.State)
}

// Quiesce refuses the queued requests of a unit and lets the running ones finish.
func (adm *Admitter) Quiesce(unitName string) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	if uni := adm.units[unitName]; uni != nil {
		adm.setState(uni, Quiesced)
	}
}

// HandOver stops admission to a unit, refuses its queued requests and returns its load for the home of the given term.
//
// It fails with errors.NotFound for an unknown unit, and with errors.NotValid if another home may have admitted requests too; the next home then waits for load reports.
func (adm *Admitter) HandOver(unitName string, term int64) (Handoff, error) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[unitName]
	if uni == nil {
		return Handoff{}, errors.NotFoundf("admitter: unit %s", unitName)
	}
	load, sole := uni.limiter.HandOver()
	adm.setState(uni, NotHome)
	if !sole {
		return Handoff{}, errors.NotValidf("admitter: handoff from a home that is not the only one of unit %s", unitName)
	}
	return Handoff{Unit: unitName, Fence: uni.cfg.Fence, Term: term, Load: load}, nil
}

// TakeOver applies the load that the previous home handed over, so that this home can admit requests at once.
//
// It fails with errors.NotFound if there is no unit with the same fencing token and term, and with errors.NotValid if the unit is not waiting for its previous home.
func (adm *Admitter) TakeOver(han Handoff) error {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[han.Unit]
	if uni == nil || uni.cfg.Fence != han.Fence || uni.cfg.Term != han.Term {
		return errors.NotFoundf("admitter: unit %s with fence %d in term %d", han.Unit, han.Fence, han.Term)
	}
	if !uni.limiter.TakeOver(han.Load) {
		return errors.NotValidf("admitter: handoff of unit %s in state %d", han.Unit, uni.state)
	}
	adm.grantWaiting(uni)
	return nil
}

// Remove deletes a unit, refuses its queued requests and drops its tickets.
func (adm *Admitter) Remove(unitName string) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	if uni := adm.units[unitName]; uni != nil {
		adm.remove(uni, "the unit was removed")
	}
}

// Status returns the state and load of a unit; known is false if this entry does not hold the unit.
func (adm *Admitter) Status(unitName string) (sta Status, known bool) {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	uni := adm.units[unitName]
	if uni == nil {
		return Status{}, false
	}
	return uni.status(), true
}

// Statuses returns the state and load of all units, sorted by name.
func (adm *Admitter) Statuses() []Status {
	adm.mux.Lock()
	defer adm.mux.Unlock()
	out := make([]Status, 0, len(adm.units))
	for _, uni := range adm.units {
		out = append(out, uni.status())
	}
	slices.SortFunc(out, func(sta, oth Status) int { return strings.Compare(sta.Name, oth.Name) })
	return out
}

func (adm *Admitter) add(cfg Config) *unit {
	lim := adm.opt.NewLimiter(limiter.Options{
		ColdLimit:         cfg.ColdLimit,
		WarmLimit:         cfg.WarmLimit,
		ReportLag:         adm.opt.ReportLag,
		Validity:          adm.opt.Validity,
		NoPriorAdmissions: cfg.NoPriorAdmissions,
		Clock:             adm.opt.Clock,
	})
	uni := &unit{cfg: cfg, limiter: lim, queue: queuer.New(adm.opt.Queue), waiting: map[string]*waiter{}, running: map[string]*grant{}}
	adm.units[cfg.Name] = uni
	return uni
}

func (adm *Admitter) remove(uni *unit, message string) {
	uni.refuseWaiting(refuser.NotRun(message, refuser.DefaultRetryAfter))
	for id, gra := range adm.tickets {
		if gra.unit == uni {
			delete(adm.tickets, id)
		}
	}
	delete(adm.units, uni.cfg.Name)
}

func (adm *Admitter) setState(uni *unit, sta State) {
	uni.state = sta
	uni.limiter.SetMode(sta.mode())
	if sta.admits() {
		adm.grantWaiting(uni)
		return
	}
	uni.refuseWaiting(refuser.NotRun(sta.refusal(), refuser.DefaultRetryAfter))
}

func (uni *unit) status() Status {
	return Status{
		Name:        uni.cfg.Name,
		Fence:       uni.cfg.Fence,
		State:       uni.state,
		Running:     uni.limiter.Running(),
		ForeignLoad: uni.limiter.Foreign(),
		Waiting:     uni.queue.Len(),
		Limit:       uni.limiter.Limit(),
		Warm:        uni.limiter.Warm(),
	}
}
