package limiter

import "time"

// Report learns from the backend server's load; a report that was probed before the last one is ignored.
func (lim *Limiter) Report(rep Report) {
	if rep.At.Before(lim.reported) {
		return
	}
	lim.reported = rep.At
	lim.learnTemperature(rep)
	lim.learnForeign(rep)
	if !lim.cold && rep.Queued*8 > rep.Running {
		lim.shrink()
	}
}

func (lim *Limiter) learnTemperature(rep Report) {
	restarted := lim.started != "" && rep.Started != lim.started
	lim.started = rep.Started
	if restarted || !rep.Warm {
		lim.fallCold()
		return
	}
	if lim.cold && !rep.At.Before(lim.warmFrom) {
		lim.cold = false
		lim.resetLimit()
	}
}

// learnForeign bounds the running requests that have no permit from both sides: a permit that is older than lag and validity is running, a younger one may be.
func (lim *Limiter) learnForeign(rep Report) {
	total := rep.Running + rep.Queued
	upper := max(0, total-lim.surelyRunning(rep.At))
	lower := max(0, total-lim.peak.max(len(lim.permits), lim.window(rep.At)))
	switch {
	case lower > lim.foreign:
		lim.foreign = upper
	case rep.At.Before(lim.settleAt):
		return
	case lim.mode != Sole:
		lim.foreign = upper
	default:
		lim.foreign = min(lim.foreign, upper)
	}
	if rep.At.Before(lim.settleAt) {
		return
	}
	lim.known = lim.wanted != Blind
	lim.widen(total)
}

func (lim *Limiter) surelyRunning(at time.Time) int {
	before := at.Add(-lim.opt.ReportLag - lim.opt.Validity)
	sum := 0
	for _, granted := range lim.permits {
		if granted.Before(before) {
			sum++
		}
	}
	return sum
}

func (lim *Limiter) window(at time.Time) time.Time {
	return at.Add(-lim.opt.ReportLag)
}

func (lim *Limiter) fallCold() {
	lim.cold = true
	lim.first, lim.step = gauge{}, gauge{}
}
