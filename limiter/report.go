package limiter

import "time"

// Report updates the limiter with the load of the backend server; a report whose probe was sent before that of the last one is ignored.
func (lim *Limiter) Report(rep Report) {
	if rep.At.Before(lim.lastReportAt) {
		return
	}
	lim.lastReportAt = rep.At
	lim.updateWarmth(rep)
	lim.updateForeign(rep)
	if !lim.cold && rep.Queued*8 > rep.Running {
		lim.decrease()
	}
}

func (lim *Limiter) updateWarmth(rep Report) {
	restarted := lim.engineStart != "" && rep.Started != lim.engineStart
	lim.engineStart = rep.Started
	if restarted || !rep.Warm && !lim.cold {
		lim.resetToCold()
		return
	}
	if rep.Warm && lim.cold && !rep.At.Before(lim.warmNotBefore) {
		lim.cold = false
		lim.resetLimit()
	}
}

// updateForeign computes a lower and an upper bound of the foreign load: the request of a permit older than ReportLag plus Validity was sent before the report was measured and is part of its count, a younger one may be.
func (lim *Limiter) updateForeign(rep Report) {
	total := rep.Running + rep.Queued
	seen := max(0, total-lim.settledPermits(rep.At))
	lower := max(0, total-lim.permitPeak.max(len(lim.permits), lim.peakWindowStart(rep.At)))
	uncovered := lim.expireLost(rep.At, seen)
	upper := seen + uncovered
	lim.foreignEstimate = max(0, total-len(lim.permits)) + uncovered
	settled := !rep.At.Before(lim.settledAt)
	switch {
	case lower > lim.foreign || settled && lim.mode != SoleHome:
		lim.foreign = upper
	case settled:
		lim.foreign = min(lim.foreign, upper)
	}
	if !settled {
		return
	}
	lim.foreignKnown = lim.targetMode != NoAdmission
	lim.applyTargetMode(total)
}

// expireLost removes the lost requests that a report covers, except as many as it still saw running without a permit, and returns how many it does not cover.
func (lim *Limiter) expireLost(at time.Time, seen int) int {
	covered := 0
	for covered < len(lim.lostExpiry) && !at.Before(lim.lostExpiry[covered]) {
		covered++
	}
	lim.lostExpiry = lim.lostExpiry[max(0, covered-seen):]
	return len(lim.lostExpiry) - min(covered, seen)
}

// settledPermits counts the permits whose requests a report of that time certainly covers.
func (lim *Limiter) settledPermits(at time.Time) int {
	before := at.Add(-lim.opt.ReportLag - lim.opt.Validity)
	sum := 0
	for _, granted := range lim.permits {
		if granted.Before(before) {
			sum++
		}
	}
	return sum
}

func (lim *Limiter) peakWindowStart(at time.Time) time.Time {
	return at.Add(-lim.opt.ReportLag)
}

// resetToCold applies the cold limit at once; it stays until a report whose probe was sent at least ReportLag later says that the unit is warm.
func (lim *Limiter) resetToCold() {
	lim.cold = true
	lim.warmNotBefore = lim.opt.Clock.Now().Add(lim.opt.ReportLag)
	lim.firstToken, lim.stepTime = latencyGauge{}, latencyGauge{}
}
