package limiter

import (
	"fmt"
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

// Factors that adapt the limit of a warm unit: it is multiplied by DecreaseFactor when the step time exceeds LatencyFactor times its best value, the first token time FirstTokenFactor times its best value, or the backend server queues requests.
const (
	DecreaseFactor = 0.7
	LatencyFactor  = 1.5
	// FirstTokenFactor is larger than LatencyFactor, since a request to a busy unit first waits for the running step to end.
	FirstTokenFactor = 4
)

// Defaults of Options.
const (
	DefaultReportLag = time.Second
	DefaultValidity  = time.Second
)

// Options configure the limiter of one unit; ReportLag is the maximum delay of its load reports, and Validity is how long after its grant a permit may be used to send the request.
type Options struct {
	ColdLimit int
	WarmLimit int
	ReportLag time.Duration
	Validity  time.Duration
	// NoPriorAdmissions reports that no other home has ever admitted a request to the unit.
	NoPriorAdmissions bool
	Clock             clockwork.Clock
}

// Report is the load of the backend server; At is when the probe was sent, and Started identifies the run of the engine.
type Report struct {
	At      time.Time
	Running int
	Queued  int
	Warm    bool
	Started string
}

// Outcome reports how an admitted request ended; FirstToken is the time to its first token and Step its time per step.
type Outcome struct {
	// Refused reports that the backend server refused the request because it was cold or overloaded.
	Refused bool
	// Broken reports that the backend server failed while it ran the request.
	Broken bool
	// Undispatched reports that the request never reached the backend server.
	Undispatched bool
	// MayRun reports that the backend server may still run the request, because its cancellation was not confirmed.
	MayRun     bool
	FirstToken time.Duration
	Step       time.Duration
}

// Completed reports whether the request ran to completion.
func (out Outcome) Completed() bool {
	return !out.Refused && !out.Broken && !out.Undispatched && !out.MayRun
}

// Permit identifies one admitted request.
type Permit uint64

// Limiter enforces the concurrency limit of one unit; it is not safe for concurrent use.
type Limiter struct {
	opt             Options
	permits         map[Permit]time.Time
	lastPermit      Permit
	permitPeak      peak
	mode            Mode
	targetMode      Mode
	requestedMode   Mode
	settledAt       time.Time
	foreign         int
	foreignEstimate int
	lostExpiry      []time.Time
	foreignKnown    bool
	cold            bool
	warmNotBefore   time.Time
	engineStart     string
	lastReportAt    time.Time
	limit           float64
	threshold       float64
	nextDecreaseAt  time.Time
	firstToken      latencyGauge
	stepTime        latencyGauge
}

// New returns a limiter that treats the unit as cold; unless the options rule out earlier requests of other homes, it admits nothing before SetMode and a report.
func New(opt Options) *Limiter {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.ReportLag <= 0 {
		opt.ReportLag = DefaultReportLag
	}
	if opt.Validity <= 0 {
		opt.Validity = DefaultValidity
	}
	lim := &Limiter{opt: opt, permits: map[Permit]time.Time{}, cold: true}
	lim.resetLimit()
	if opt.NoPriorAdmissions {
		lim.mode, lim.targetMode, lim.requestedMode, lim.foreignKnown = SoleHome, SoleHome, SoleHome, true
	}
	return lim
}

// Resize changes the cold and the warm limit.
func (lim *Limiter) Resize(cold, warm int) {
	lim.opt.ColdLimit, lim.opt.WarmLimit = cold, warm
	lim.limit = math.Min(lim.limit, float64(lim.maxLimit()))
	lim.limit = math.Max(lim.limit, 1)
	lim.threshold = math.Min(lim.threshold, lim.limit)
}

// Acquire admits one request, or returns false if the limit is reached.
func (lim *Limiter) Acquire() (Permit, bool) {
	if lim.Room() <= 0 {
		return 0, false
	}
	now := lim.opt.Clock.Now()
	lim.permitPeak.record(now, len(lim.permits), lim.peakWindowStart(now))
	lim.lastPermit++
	lim.permits[lim.lastPermit] = now
	lim.assertLimits()
	return lim.lastPermit, true
}

// Release returns a permit and adjusts the limit to the outcome; it reports false for an unknown permit.
func (lim *Limiter) Release(per Permit, out Outcome) bool {
	if !lim.removePermit(per) {
		return false
	}
	if out.MayRun {
		lim.addLost()
	}
	if out.Refused || out.Broken {
		lim.resetToCold()
		return true
	}
	if out.Completed() && !lim.cold {
		lim.adjustLimit(out)
	}
	return true
}

// Abandon turns a permit whose holder is gone into foreign load, which only a later report can reduce; it reports false for an unknown permit.
func (lim *Limiter) Abandon(per Permit) bool {
	if !lim.removePermit(per) {
		return false
	}
	lim.addLost()
	return true
}

// Room returns how many more requests may start now.
func (lim *Limiter) Room() int {
	if !lim.foreignKnown {
		return 0
	}
	own := len(lim.permits)
	room := lim.Limit() - own - lim.foreignLoad()
	if lim.mode == SoleHome {
		return room
	}
	return min(room, lim.unconfirmedShare()-own-len(lim.lostExpiry))
}

// Limit returns how many requests, of all homes together, the unit may run concurrently.
func (lim *Limiter) Limit() int {
	if lim.cold || lim.mode != SoleHome {
		return lim.opt.ColdLimit
	}
	return int(lim.limit)
}

// Running returns the number of permits held.
func (lim *Limiter) Running() int {
	return len(lim.permits)
}

// Foreign returns the upper bound of the foreign load.
func (lim *Limiter) Foreign() int {
	return lim.foreign
}

// foreignLoad returns the foreign load to subtract from the limit. A warm unit tolerates the error that the report lag causes in the estimate; the upper bound would cost it capacity.
func (lim *Limiter) foreignLoad() int {
	if lim.cold || lim.mode != SoleHome {
		return lim.foreign
	}
	return min(lim.foreign, lim.foreignEstimate)
}

// Warm reports whether the unit is known to be warm.
func (lim *Limiter) Warm() bool {
	return !lim.cold
}

// addLost adds a request that may still run without its permit to the foreign load.
func (lim *Limiter) addLost() {
	lim.foreign++
	lim.foreignEstimate++
	lim.lostExpiry = append(lim.lostExpiry, lim.settleTime())
}

func (lim *Limiter) removePermit(per Permit) bool {
	if _, found := lim.permits[per]; !found {
		return false
	}
	now := lim.opt.Clock.Now()
	lim.permitPeak.record(now, len(lim.permits), lim.peakWindowStart(now))
	delete(lim.permits, per)
	return true
}

func (lim *Limiter) assertLimits() {
	own := len(lim.permits)
	if lim.cold && own+lim.foreign > lim.opt.ColdLimit {
		panic(fmt.Sprintf("limiter: %d own and %d foreign requests on a cold unit with limit %d", own, lim.foreign, lim.opt.ColdLimit))
	}
	if lim.mode != SoleHome && own+len(lim.lostExpiry) > lim.unconfirmedShare() {
		panic(fmt.Sprintf("limiter: %d own and %d lost requests in mode %d with share %d", own, len(lim.lostExpiry), lim.mode, lim.unconfirmedShare()))
	}
}
