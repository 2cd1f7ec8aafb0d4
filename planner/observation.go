package planner

import "time"

// Health is the result of the health probes of a VM.
type Health string

// Values of Health; a VM that is missing from the VM list is dead.
const (
	HealthUnknown Health = ""
	HealthLive    Health = "live"
	HealthSuspect Health = "suspect"
	HealthDead    Health = "dead"
)

// Engine states as reported by the engines.
const (
	StateEmpty   = "empty"
	StateLoading = "loading"
	StateReady   = "ready"
	StateFailed  = "failed"
)

// Observation is the newest known status of a VM; HealthSince is when its health last changed, ReportedAt is when its engine last reported, LeavesAt is its departure time, set while it is leaving, and Started changes when the engine restarts.
type Observation struct {
	Health      Health
	HealthSince time.Time
	ReportedAt  time.Time
	Leaving     bool
	LeavesAt    time.Time
	Group       string
	Fence       int64
	Model       string
	Version     string
	State       string
	Reason      string
	Warm        bool
	Running     int
	Queued      int
	StepTime    time.Duration
	Started     string
	// PreloadedWeights lists the models, as MODEL@VERSION, whose weights the engine holds without serving them.
	PreloadedWeights []string
}

// StoreQueue is the transfer queue of the weight store: the gigabytes queued ahead of a new transfer and the gigabytes per second that all transfers share.
type StoreQueue struct {
	QueuedGigabytes    float64
	GigabytesPerSecond float64
}

// Observations is the input of a planning round: the status by VM name and the queue of the weight store.
type Observations struct {
	VMs   map[string]Observation
	Store StoreQueue
}
