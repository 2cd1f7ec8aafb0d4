package limiter

import (
	"math"
	"time"
)

// Mode states whether other homes may also admit requests to the unit.
type Mode int

// The modes of a limiter, which bound what it admits.
const (
	// NoAdmission is the mode of a home that must not admit requests.
	NoAdmission Mode = iota
	// UncertainSuccessor is the mode of a successor whose predecessor may still admit requests.
	UncertainSuccessor
	// UncertainPredecessor is the mode of a home that cannot prove that it still is the home, so that a successor may admit requests too.
	UncertainPredecessor
	// SoleHome is the mode of a home that is the only one to admit requests.
	SoleHome
)

// SetMode requests a mode. A restriction takes effect at once, a wider mode with the first report that covers all requests that another home may have started before. A home that was not the sole one has no share to keep and admits nothing when it becomes uncertain.
func (lim *Limiter) SetMode(mod Mode) {
	if mod == lim.requestedMode {
		return
	}
	lim.requestedMode = mod
	if mod == UncertainPredecessor && lim.targetMode != SoleHome {
		mod = NoAdmission
	}
	lim.targetMode = mod
	lim.settledAt = lim.settleTime()
	switch {
	case mod == UncertainPredecessor && lim.mode != NoAdmission:
		lim.mode = UncertainPredecessor
	case mod != SoleHome && mod != lim.mode:
		lim.mode, lim.foreignKnown = NoAdmission, false
	}
}

// unconfirmedShare returns the part of the cold limit that a home in an uncertain mode may use. The shares of UncertainPredecessor and UncertainSuccessor add up to the cold limit, so that predecessor and successor together cannot exceed it.
func (lim *Limiter) unconfirmedShare() int {
	half := lim.opt.ColdLimit / 2
	switch lim.mode {
	case UncertainPredecessor:
		return half
	case UncertainSuccessor:
		return lim.opt.ColdLimit - half
	default:
		return 0
	}
}

// applyTargetMode puts the target mode into effect after a report covered the time before its request. When this home becomes the sole one of a warm unit, its limit starts at the running requests, at least the cold limit.
func (lim *Limiter) applyTargetMode(running int) {
	if lim.mode == lim.targetMode {
		return
	}
	lim.mode = lim.targetMode
	if lim.mode != SoleHome || lim.cold {
		return
	}
	proven := math.Max(float64(running), float64(lim.opt.ColdLimit))
	lim.limit = math.Min(proven, float64(lim.maxLimit()))
}

// settleTime returns the time from which a report covers all requests that were admitted until now.
func (lim *Limiter) settleTime() time.Time {
	return lim.opt.Clock.Now().Add(lim.opt.ReportLag + lim.opt.Validity)
}
