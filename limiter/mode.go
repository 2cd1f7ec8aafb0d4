package limiter

import (
	"math"
	"time"
)

// Mode says who else may admit requests to the unit.
type Mode int

// The modes of a limiter.
const (
	// Blind is the mode of a home that admits nothing.
	Blind Mode = iota
	// UncertainNew is the mode of a successor whose predecessor may still admit.
	UncertainNew
	// UncertainOld is the mode of a home that cannot prove that it is still home.
	UncertainOld
	// Sole is the mode of the only home.
	Sole
)

// SetMode changes the mode; a wider mode takes effect with the first report that covers everything which another home may have started before, and a home that never was sole admits nothing when it becomes uncertain.
func (lim *Limiter) SetMode(mod Mode) {
	if mod == lim.asked {
		return
	}
	lim.asked = mod
	if mod == UncertainOld && lim.wanted != Sole {
		mod = Blind
	}
	lim.wanted = mod
	lim.settleAt = lim.settled()
	switch {
	case mod == UncertainOld && lim.mode != Blind:
		lim.mode = UncertainOld
	case mod != Sole && mod != lim.mode:
		lim.mode, lim.known = Blind, false
	}
}

// share is the part of the cold limit that a home which is not sole may fill by itself.
func (lim *Limiter) share() int {
	half := lim.opt.ColdLimit / 2
	switch lim.mode {
	case UncertainOld:
		return half
	case UncertainNew:
		return lim.opt.ColdLimit - half
	default:
		return 0
	}
}

// widen takes the wanted mode once a report covers the time before it.
func (lim *Limiter) widen(running int) {
	if lim.mode == lim.wanted {
		return
	}
	lim.mode = lim.wanted
	if lim.mode != Sole || lim.cold {
		return
	}
	borne := math.Max(float64(running), float64(lim.opt.ColdLimit))
	lim.limit = math.Min(borne, float64(lim.top()))
}

func (lim *Limiter) settled() time.Time {
	return lim.opt.Clock.Now().Add(lim.opt.ReportLag + lim.opt.Validity)
}
