package planner

import (
	"time"

	"github.com/lovagelever/lovagelever/placer"
	"github.com/lovagelever/lovagelever/reducer"
)

// Planner plans the replica groups of one region.
type Planner struct {
	Region  string
	Options Options
	Policy  placer.Policy
}

// New returns a planner with the default options and the best-fit placement policy.
func New(region string) *Planner {
	return &Planner{Region: region, Options: DefaultOptions(), Policy: placer.BestFit{}}
}

// Plan runs one planning round and returns its actions; the view must include every record that the caller appended after earlier rounds, or the same decision may be proposed twice.
func (pla *Planner) Plan(now time.Time, vie *reducer.View, obs Observations, mem *Memory) []Action {
	rnd := newRound(pla, now, vie, obs, mem)
	mem.prune(rnd)
	rnd.assess()
	rnd.finishQuiesced()
	rnd.stageForRepairs()
	rnd.repairGroups()
	rnd.replaceLeaving()
	rnd.replaceStragglers()
	rnd.formGroups()
	rnd.rollVersions()
	rnd.trimSurplus()
	rnd.sendOrders()
	rnd.preloadSpare()
	return rnd.actions
}
