package limiter

import "math"

// Handoff is what a home tells its successor of a unit when it gives the unit up.
type Handoff struct {
	Running int
	Limit   float64
	Warm    bool
	Started string
}

// HandOver admits nothing from now on and returns what the successor must know; it reports false when this home was not sole.
func (lim *Limiter) HandOver() (Handoff, bool) {
	sole := lim.mode == Sole
	han := Handoff{Running: len(lim.permits) + lim.foreign, Limit: lim.limit, Warm: !lim.cold, Started: lim.started}
	lim.SetMode(Blind)
	return han, sole
}

// TakeOver makes a home that waits to be sole so at once, because its predecessor has stopped; it reports false in any other mode.
func (lim *Limiter) TakeOver(han Handoff) bool {
	if lim.wanted != Sole || lim.mode == Sole {
		return false
	}
	lim.mode, lim.known = Sole, true
	lim.foreign = han.Running + len(lim.lost)
	lim.guess = lim.foreign
	lim.settleAt = lim.settled()
	lim.cold, lim.started = !han.Warm, han.Started
	lim.limit = math.Min(math.Max(han.Limit, 1), float64(lim.top()))
	lim.threshold = lim.limit
	return true
}
