package limiter

import (
	"math"
	"time"
)

func (lim *Limiter) maxLimit() int {
	return max(lim.opt.ColdLimit, lim.opt.WarmLimit)
}

func (lim *Limiter) resetLimit() {
	lim.limit = float64(lim.opt.ColdLimit)
	lim.threshold = float64(lim.maxLimit()) / 2
}

func (lim *Limiter) adjustLimit(out Outcome) {
	lim.firstToken.add(out.FirstToken)
	lim.stepTime.add(out.Step)
	if lim.firstToken.exceeds(FirstTokenFactor) || lim.stepTime.exceeds(LatencyFactor) {
		lim.decrease()
		return
	}
	lim.increase()
}

// increase raises the limit by one per completion up to the threshold (slow start), then by one per limit completions, and only while at least about half of the limit is in use.
func (lim *Limiter) increase() {
	if 2*len(lim.permits) < int(lim.limit)-1 {
		return
	}
	add := 1.0
	if lim.limit >= lim.threshold {
		add = 1 / lim.limit
	}
	lim.limit = math.Min(lim.limit+add, float64(lim.maxLimit()))
}

// decrease multiplies the limit by DecreaseFactor, at most once per ReportLag, since the effect of a decrease only shows after that time.
func (lim *Limiter) decrease() {
	now := lim.opt.Clock.Now()
	if now.Before(lim.nextDecreaseAt) {
		return
	}
	lim.nextDecreaseAt = now.Add(lim.opt.ReportLag)
	lim.limit = math.Max(1, lim.limit*DecreaseFactor)
	lim.threshold = lim.limit
}

// latencyGauge compares a smoothed latency with the best value seen, which rises by at most 0.1% per sample.
type latencyGauge struct {
	smoothed float64
	best     float64
}

func (gau *latencyGauge) add(dur time.Duration) {
	if dur <= 0 {
		return
	}
	val := float64(dur)
	if gau.smoothed == 0 {
		gau.smoothed, gau.best = val, val
		return
	}
	gau.smoothed += (val - gau.smoothed) / 8
	gau.best = math.Min(gau.best*1.001, gau.smoothed)
}

func (gau *latencyGauge) exceeds(factor float64) bool {
	return gau.smoothed > gau.best*factor
}
