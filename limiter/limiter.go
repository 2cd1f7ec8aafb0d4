package limiter

import (
	"fmt"
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

// Growth and shrinkage of the limit of a warm unit.
const (
	DecreaseFactor = 0.7
	LatencyFactor  = 1.5
	// FirstTokenFactor is larger, since on a busy unit a request first waits for the step that runs.
	FirstTokenFactor = 4
)

// Defaults of a limiter.
const (
	DefaultReportLag = time.Second
	DefaultValidity  = time.Second
)

// Options are the limits of one unit; ReportLag is the largest lag of its load reports and Validity is how long a permit may wait for its dispatch.
type Options struct {
	ColdLimit int
	WarmLimit int
	ReportLag time.Duration
	Validity  time.Duration
	// Untouched says that no other home has ever admitted a request to the unit.
	Untouched bool
	Clock     clockwork.Clock
}

// Report is the backend server's load; At is when the probe was sent.
type Report struct {
	At      time.Time
	Running int
	Queued  int
	Warm    bool
	Started string
}

// Outcome is how an admitted request ended.
type Outcome struct {
	// Refused says that the backend server refused the request as cold or overloaded.
	Refused bool
	// Broken says that the backend server failed while it ran the request.
	Broken bool
	// Undispatched says that the request never reached the backend server.
	Undispatched bool
	// MayRun says that the backend server may still run the request, because its cancellation was not confirmed.
	MayRun     bool
	FirstToken time.Duration
	Step       time.Duration
}

// Whole reports whether the request ran to its end.
func (out Outcome) Whole() bool {
	return !out.Refused && !out.Broken && !out.Undispatched && !out.MayRun
}

// Permit names one place that is taken.
type Permit uint64

// Limiter holds the concurrency limit of one unit.
type Limiter struct {
	opt       Options
	permits   map[Permit]time.Time
	last      Permit
	peak      peak
	mode      Mode
	wanted    Mode
	asked     Mode
	settleAt  time.Time
	foreign   int
	guess     int
	lost      []time.Time
	known     bool
	cold      bool
	warmFrom  time.Time
	started   string
	reported  time.Time
	limit     float64
	threshold float64
	cutAt     time.Time
	first     gauge
	step      gauge
}

// New returns the limiter of a cold unit.
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
	if opt.Untouched {
		lim.mode, lim.wanted, lim.asked, lim.known = Sole, Sole, Sole, true
	}
	return lim
}

// Resize changes the cold and the warm limit.
func (lim *Limiter) Resize(cold, warm int) {
	lim.opt.ColdLimit, lim.opt.WarmLimit = cold, warm
	lim.limit = math.Min(lim.limit, float64(lim.top()))
	lim.limit = math.Max(lim.limit, 1)
	lim.threshold = math.Min(lim.threshold, lim.limit)
}

// Acquire takes a place when there is one.
func (lim *Limiter) Acquire() (Permit, bool) {
	if lim.Room() <= 0 {
		return 0, false
	}
	now := lim.opt.Clock.Now()
	lim.peak.change(now, len(lim.permits), lim.window(now))
	lim.last++
	lim.permits[lim.last] = now
	lim.assertBound()
	return lim.last, true
}

// Release gives a place back and learns from the outcome; it reports false for an unknown permit.
func (lim *Limiter) Release(per Permit, out Outcome) bool {
	if !lim.drop(per) {
		return false
	}
	if out.MayRun {
		lim.lose()
	}
	if out.Refused || out.Broken {
		lim.fallCold()
		return true
	}
	if out.Whole() && !lim.cold {
		lim.learn(out)
	}
	return true
}

// Abandon turns a place whose holder is gone into foreign load, which only a later report can lower.
func (lim *Limiter) Abandon(per Permit) bool {
	if !lim.drop(per) {
		return false
	}
	lim.lose()
	return true
}

// Room returns how many more requests may start now.
func (lim *Limiter) Room() int {
	if !lim.known {
		return 0
	}
	own := len(lim.permits)
	room := lim.Limit() - own - lim.others()
	if lim.mode == Sole {
		return room
	}
	return min(room, lim.share()-own-len(lim.lost))
}

// Limit returns how many requests of all homes the unit may run at once.
func (lim *Limiter) Limit() int {
	if lim.cold || lim.mode != Sole {
		return lim.opt.ColdLimit
	}
	return int(lim.limit)
}

// Running returns how many places are taken.
func (lim *Limiter) Running() int {
	return len(lim.permits)
}

// Foreign returns the upper bound of running requests that have no permit.
func (lim *Limiter) Foreign() int {
	return lim.foreign
}

// others is the load beside the permits; a warm unit bears an error of the lag, which the upper bound would turn into lost capacity.
func (lim *Limiter) others() int {
	if lim.cold || lim.mode != Sole {
		return lim.foreign
	}
	return min(lim.foreign, lim.guess)
}

// Warm reports whether the unit is known to be warm.
func (lim *Limiter) Warm() bool {
	return !lim.cold
}

// lose counts a request as running although its permit is gone.
func (lim *Limiter) lose() {
	lim.foreign++
	lim.guess++
	lim.lost = append(lim.lost, lim.settled())
}

func (lim *Limiter) drop(per Permit) bool {
	if _, found := lim.permits[per]; !found {
		return false
	}
	now := lim.opt.Clock.Now()
	lim.peak.change(now, len(lim.permits), lim.window(now))
	delete(lim.permits, per)
	return true
}

func (lim *Limiter) assertBound() {
	own := len(lim.permits)
	if lim.cold && own+lim.foreign > lim.opt.ColdLimit {
		panic(fmt.Sprintf("limiter: %d own and %d foreign requests on a cold unit with limit %d", own, lim.foreign, lim.opt.ColdLimit))
	}
	if lim.mode != Sole && own+len(lim.lost) > lim.share() {
		panic(fmt.Sprintf("limiter: %d own and %d lost requests in mode %d with share %d", own, len(lim.lost), lim.mode, lim.share()))
	}
}
