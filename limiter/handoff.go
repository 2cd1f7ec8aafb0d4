package limiter

import "math"

// Handoff is the limiter state that a home passes to its successor when it gives up a unit.
type Handoff struct {
	Running int
	Limit   float64
	Warm    bool
	Started string
}

// HandOver stops admission and returns the state for the successor; it reports false if this home was not the sole one.
func (lim *Limiter) HandOver() (Handoff, bool) {
	sole := lim.mode == SoleHome
	han := Handoff{Running: len(lim.permits) + lim.foreign, Limit: lim.limit, Warm: !lim.cold, Started: lim.engineStart}
	lim.SetMode(NoAdmission)
	return han, sole
}

// TakeOver makes a home that waits to become the sole one so at once, because its predecessor has stopped admitting; it reports false in any other mode.
func (lim *Limiter) TakeOver(han Handoff) bool {
	if lim.targetMode != SoleHome || lim.mode == SoleHome {
		return false
	}
	lim.mode, lim.foreignKnown = SoleHome, true
	lim.foreign = han.Running + len(lim.lostExpiry)
	lim.foreignEstimate = lim.foreign
	lim.settledAt = lim.settleTime()
	lim.cold, lim.engineStart = !han.Warm, han.Started
	lim.limit = math.Min(math.Max(han.Limit, 1), float64(lim.maxLimit()))
	lim.threshold = lim.limit
	return true
}
