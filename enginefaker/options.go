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

// Options configure the engines of one fabric domain; zero values select defaults, and an empty ControlAddress disables the control API.
type Options struct {
	Clock          clockwork.Clock
	Inventory      cataloger.Inventory
	Domain         string
	ControlAddress string
	// WeightStore is the IP:PORT of the weight store; if it is empty, loads take no time.
	WeightStore   string
	EventLossSeed int64
	WarmAfter     time.Duration
	ColdLimit     int
	ReportLag     time.Duration
	// A step takes the base duration StepBase, plus StepPerRequest for each running request and PrefillPerToken for each uncached prompt token.
	StepBase        time.Duration
	StepPerRequest  time.Duration
	PrefillPerToken time.Duration
	BatchLimit      int
	QueueLimit      int
	CacheTokens     int
	CrashMarker     string
}

// VMFaults are the faults of one VM; Truncate, RepeatChunk and CrossAnswers apply to one stream each, LateAnswerMS and SlowFactor until they are cleared.
type VMFaults struct {
	vmrunner.CommonFaults
	SlowFactor   float64 `json:"slow_factor,omitempty"`
	LateAnswerMS int64   `json:"late_answer_ms,omitempty"`
	CrossAnswers bool    `json:"cross_answers,omitempty"`
	Truncate     bool    `json:"truncate,omitempty"`
	RepeatChunk  bool    `json:"repeat_chunk,omitempty"`
}

func (opt Options) withDefaults() Options {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	setDefault(&opt.WarmAfter, defaultWarmAfter)
	setDefault(&opt.ColdLimit, defaultColdLimit)
	setDefault(&opt.StepBase, defaultStep)
	setDefault(&opt.StepPerRequest, defaultStepEach)
	setDefault(&opt.PrefillPerToken, defaultPrefillEach)
	setDefault(&opt.BatchLimit, defaultBatchLimit)
	setDefault(&opt.QueueLimit, defaultQueueLimit)
	setDefault(&opt.CacheTokens, defaultCacheTokens)
	setDefault(&opt.CrashMarker, defaultCrashMarker)
	return opt
}

func setDefault[T comparable](val *T, absent T) {
	var zero T
	if *val == zero {
		*val = absent
	}
}
