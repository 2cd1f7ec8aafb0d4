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
	if restarted || !rep.Warm && !lim.cold {
		lim.fallCold()
		return
	}
	if rep.Warm && lim.cold && !rep.At.Before(lim.warmFrom) {
		lim.cold = false
		lim.resetLimit()
	}
}

// learnForeign bounds the running requests that have no permit from both sides: a permit that is older than lag and validity is running, a younger one may be.
func (lim *Limiter) learnForeign(rep Report) {
	total := rep.Running + rep.Queued
	seen := max(0, total-lim.surelyRunning(rep.At))
	lower := max(0, total-lim.peak.max(len(lim.permits), lim.window(rep.At)))
	young := lim.trimLost(rep.At, seen)
	upper := seen + young
	lim.guess = max(0, total-len(lim.permits)) + young
	settled := !rep.At.Before(lim.settleAt)
	switch {
	case lower > lim.foreign || settled && lim.mode != Sole:
		lim.foreign = upper
	case settled:
		lim.foreign = min(lim.foreign, upper)
	}
	if !settled {
		return
	}
	lim.known = lim.wanted != Blind
	lim.widen(total)
}

// trimLost forgets the lost requests that a report covers beyond those it saw, and returns how many it does not cover.
func (lim *Limiter) trimLost(at time.Time, seen int) int {
	covered := 0
	for covered < len(lim.lost) && !at.Before(lim.lost[covered]) {
		covered++
	}
	lim.lost = lim.lost[max(0, covered-seen):]
	return len(lim.lost) - min(covered, seen)
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

// fallCold makes the limit the cold limit at once, and until a report that was measured later says warm.
func (lim *Limiter) fallCold() {
	lim.cold = true
	lim.warmFrom = lim.opt.Clock.Now().Add(lim.opt.ReportLag)
	lim.first, lim.step = gauge{}, gauge{}
}
