package planner

import (
	"time"

	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/reducer"
)

// Planner decides on the groups of one region.
type Planner struct {
	Region  string
	Options Options
	Policy  placer.Policy
}

// New returns a planner with the usual options.
func New(region string) *Planner {
	return &Planner{Region: region, Options: Defaults(), Policy: placer.BestFit{}}
}

// Plan decides one round; the view must hold every record that the caller appended after earlier rounds, or the same decision may be proposed twice.
func (pla *Planner) Plan(now time.Time, vie *reducer.View, obs Observations, mem *Memory) []Action {
	rnd := newRound(pla, now, vie, obs, mem)
	mem.forget(rnd)
	rnd.survey()
	rnd.finish()
	rnd.stageAhead()
	rnd.repair()
	rnd.drain()
	rnd.replaceStragglers()
	rnd.form()
	rnd.roll()
	rnd.trim()
	rnd.order()
	rnd.preload()
	return rnd.actions
}
