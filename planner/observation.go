package planner

import "time"

// Health is what the probes say of a VM.
type Health string

// The health of a VM; one that the VM list does not name any more is dead.
const (
	HealthUnknown Health = ""
	HealthLive    Health = "live"
	HealthSuspect Health = "suspect"
	HealthDead    Health = "dead"
)

// Engine states as engines report them.
const (
	StateEmpty   = "empty"
	StateLoading = "loading"
	StateReady   = "ready"
	StateFailed  = "failed"
)

// Observation is the newest that is known of a VM; Since is when its health last changed, At when its engine last reported, and LeavesAt is set while it is leaving.
type Observation struct {
	Health   Health
	Since    time.Time
	At       time.Time
	Leaving  bool
	LeavesAt time.Time
	Group    string
	Fence    int64
	Model    string
	Version  string
	State    string
	Reason   string
	Warm     bool
	Running  int
	Queued   int
	StepTime time.Duration
	Started  string
	// Weights names the models whose weights the engine holds without serving them, as MODEL@VERSION.
	Weights []string
}

// Store is the weight store's queue: the gigabytes ahead of a new transfer and the gigabytes a second that all transfers share.
type Store struct {
	QueuedGigabytes    float64
	GigabytesPerSecond float64
}

// Observations are what is known at the start of a round, by VM.
type Observations struct {
	VMs   map[string]Observation
	Store Store
}
