package planner

import "time"

// Options are the limits of the decisions; Defaults gives the usual ones.
type Options struct {
	Grace           time.Duration // Grace is how long a member is dead before it is replaced.
	StagedGrace     time.Duration // StagedGrace is the same once spares hold the weights.
	PendingFor      time.Duration // PendingFor is how long a proposed record is awaited in the fold.
	OrderBackoff    time.Duration // OrderBackoff is the wait after the first order; it doubles up to OrderBackoffMax.
	OrderBackoffMax time.Duration
	OrderAttempts   int           // OrderAttempts is how many orders a VM may leave without effect.
	LoadLimit       time.Duration // LoadLimit is how long a load may last beyond twice its wait at the weight store.
	AvoidFor        time.Duration // AvoidFor is how long a VM that failed or straggled gets no group.
	LoadAhead       time.Duration // LoadAhead is how much transfer time new groups may queue at the weight store; repairs may queue twice that.
	LeaveMargin     time.Duration // LeaveMargin is how long before a VM leaves its group is given up.
	LeaveNotice     time.Duration // LeaveNotice is how long before a VM leaves its group is quiesced at the latest.
	DrainSettle     time.Duration // DrainSettle is how long after a group is quiesced its reports of running requests count.
	SurplusHold     time.Duration // SurplusHold is how long a surplus lasts before a group is quiesced.
	StragglerRatio  float64       // StragglerRatio is the multiple of the median step time that makes a straggler.
	StragglerClear  float64       // StragglerClear is the multiple below which a suspicion ends.
	StragglerCount  int           // StragglerCount is how many reports in a row make a straggler.
	StragglerPause  time.Duration // StragglerPause is the least time between two replacements of stragglers of a model.
	ReformElsewhere bool          // ReformElsewhere retires a group that lost a member instead of taking a spare.
}

// Defaults returns the usual options.
func Defaults() Options {
	return Options{
		Grace:           3 * time.Second,
		StagedGrace:     1500 * time.Millisecond,
		PendingFor:      10 * time.Second,
		OrderBackoff:    2 * time.Second,
		OrderBackoffMax: 30 * time.Second,
		OrderAttempts:   6,
		LoadLimit:       2 * time.Minute,
		AvoidFor:        10 * time.Minute,
		LoadAhead:       20 * time.Second,
		LeaveMargin:     5 * time.Second,
		LeaveNotice:     30 * time.Second,
		DrainSettle:     3 * time.Second,
		SurplusHold:     15 * time.Second,
		StragglerRatio:  3,
		StragglerClear:  2,
		StragglerCount:  5,
		StragglerPause:  2 * time.Minute,
	}
}
