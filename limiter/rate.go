package limiter

import (
	"math"
	"time"
)

func (lim *Limiter) top() int {
	return max(lim.opt.ColdLimit, lim.opt.WarmLimit)
}

func (lim *Limiter) resetLimit() {
	lim.limit = float64(lim.opt.ColdLimit)
	lim.threshold = float64(lim.top()) / 2
}

func (lim *Limiter) learn(out Outcome) {
	lim.first.add(out.FirstToken)
	lim.step.add(out.Step)
	if lim.first.over(FirstTokenFactor) || lim.step.over(LatencyFactor) {
		lim.shrink()
		return
	}
	lim.grow()
}

// grow adds one per completion up to the threshold and then one per limit completions, only while the limit is in use.
func (lim *Limiter) grow() {
	if 2*len(lim.permits) < int(lim.limit)-1 {
		return
	}
	add := 1.0
	if lim.limit >= lim.threshold {
		add = 1 / lim.limit
	}
	lim.limit = math.Min(lim.limit+add, float64(lim.top()))
}

// shrink cuts the limit once in the time that the effect takes to show.
func (lim *Limiter) shrink() {
	now := lim.opt.Clock.Now()
	if now.Before(lim.cutAt) {
		return
	}
	lim.cutAt = now.Add(lim.opt.ReportLag)
	lim.limit = math.Max(1, lim.limit*DecreaseFactor)
	lim.threshold = lim.limit
}

// gauge compares a smoothed latency with the best that was seen.
type gauge struct {
	recent float64
	best   float64
}

func (gau *gauge) add(dur time.Duration) {
	if dur <= 0 {
		return
	}
	val := float64(dur)
	if gau.recent == 0 {
		gau.recent, gau.best = val, val
		return
	}
	gau.recent += (val - gau.recent) / 8
	gau.best = math.Min(gau.best*1.001, gau.recent)
}

func (gau *gauge) over(factor float64) bool {
	return gau.recent > gau.best*factor
}
