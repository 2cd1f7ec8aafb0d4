package enginefaker

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/vmrunner"
)

const (
	defaultWarmAfter   = 5 * time.Second
	defaultColdLimit   = 4
	defaultStep        = 4 * time.Millisecond
	defaultStepEach    = 200 * time.Microsecond
	defaultPrefillEach = 20 * time.Microsecond
	defaultBatchLimit  = 64
	defaultQueueLimit  = 256
	defaultCacheTokens = 1 << 16
	defaultCrashMarker = "crash-the-engine"
)

// Options set up the engines of one fabric domain; zero values take defaults, and an empty Control opens no control address.
type Options struct {
	Clock     clockwork.Clock
	Inventory cataloger.Inventory
	Domain    string
	Control   string
	// WeightStore is its IP:PORT; without one a load takes no time.
	WeightStore string
	Seed        int64
	WarmAfter   time.Duration
	ColdLimit   int
	ReportLag   time.Duration
	// Step is the time of a step, StepEach what each running request adds, PrefillEach what each uncached token of a prompt adds.
	Step        time.Duration
	StepEach    time.Duration
	PrefillEach time.Duration
	BatchLimit  int
	QueueLimit  int
	CacheTokens int
	CrashMarker string
}

// VMFaults are the faults of one VM.
type VMFaults struct {
	vmrunner.Life
	SlowFactor   float64 `json:"slow_factor,omitempty"`
	LateAnswerMS int64   `json:"late_answer_ms,omitempty"`
	CrossAnswers bool    `json:"cross_answers,omitempty"`
	Truncate     bool    `json:"truncate,omitempty"`
	RepeatChunk  bool    `json:"repeat_chunk,omitempty"`
}

func (opt Options) complete() Options {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	fill(&opt.WarmAfter, defaultWarmAfter)
	fill(&opt.ColdLimit, defaultColdLimit)
	fill(&opt.Step, defaultStep)
	fill(&opt.StepEach, defaultStepEach)
	fill(&opt.PrefillEach, defaultPrefillEach)
	fill(&opt.BatchLimit, defaultBatchLimit)
	fill(&opt.QueueLimit, defaultQueueLimit)
	fill(&opt.CacheTokens, defaultCacheTokens)
	fill(&opt.CrashMarker, defaultCrashMarker)
	return opt
}

func fill[T comparable](val *T, absent T) {
	var zero T
	if *val == zero {
		*val = absent
	}
}
