package planner

import "time"

// Options are the time limits and thresholds of a planner; DefaultOptions returns the defaults.
type Options struct {
	GracePeriod         time.Duration // GracePeriod is how long a member must be dead before it is replaced.
	StagedGracePeriod   time.Duration // StagedGracePeriod applies instead of GracePeriod once spares hold the weights.
	PendingTimeout      time.Duration // PendingTimeout is how long to wait until a proposed record takes effect in the view.
	OrderBackoff        time.Duration // OrderBackoff is the delay after the first order; it doubles with each order up to OrderBackoffMax.
	OrderBackoffMax     time.Duration // OrderBackoffMax is the longest delay between two orders.
	MaxOrderAttempts    int           // MaxOrderAttempts is how many orders without effect are sent to a VM before it is avoided.
	LoadTimeout         time.Duration // LoadTimeout is how long a load may take on top of twice the transfer time queued at the weight store.
	AvoidDuration       time.Duration // AvoidDuration is how long no group is placed on a VM that failed or straggled.
	MaxQueueTime        time.Duration // MaxQueueTime is the transfer time that new groups may queue at the weight store; repairs may queue twice as much.
	LeaveDrainMargin    time.Duration // LeaveDrainMargin is how long before a VM leaves its quiesced group stops without waiting for running requests.
	LeaveQuiesceMargin  time.Duration // LeaveQuiesceMargin is how long before a VM leaves its group is quiesced at the latest.
	DrainSettle         time.Duration // DrainSettle is how long after a group is quiesced its reports of running requests are ignored.
	SurplusHold         time.Duration // SurplusHold is how long a surplus of serving groups must last before one is quiesced.
	StragglerRatio      float64       // StragglerRatio is the multiple of the median step time above which a report counts as slow.
	StragglerClearRatio float64       // StragglerClearRatio is the multiple of the median step time below which the count of slow reports falls.
	StragglerReports    int           // StragglerReports is how many slow reports, with none below StragglerClearRatio between them, mark a VM as a straggler.
	StragglerInterval   time.Duration // StragglerInterval is the minimum time between two straggler replacements of a model.
	ReformElsewhere     bool          // ReformElsewhere retires a group that lost a member and forms it in another place instead of taking a spare.
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		GracePeriod:         3 * time.Second,
		StagedGracePeriod:   1500 * time.Millisecond,
		PendingTimeout:      10 * time.Second,
		OrderBackoff:        2 * time.Second,
		OrderBackoffMax:     30 * time.Second,
		MaxOrderAttempts:    6,
		LoadTimeout:         2 * time.Minute,
		AvoidDuration:       10 * time.Minute,
		MaxQueueTime:        20 * time.Second,
		LeaveDrainMargin:    5 * time.Second,
		LeaveQuiesceMargin:  30 * time.Second,
		DrainSettle:         3 * time.Second,
		SurplusHold:         15 * time.Second,
		StragglerRatio:      3,
		StragglerClearRatio: 2,
		StragglerReports:    5,
		StragglerInterval:   2 * time.Minute,
	}
}
