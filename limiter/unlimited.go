package limiter

// Unlimited admits everything; it is the baseline that Limiter is compared with.
type Unlimited struct {
	last    Permit
	permits map[Permit]bool
	warm    bool
}

// NewUnlimited returns a limiter without a limit.
func NewUnlimited() *Unlimited {
	return &Unlimited{permits: map[Permit]bool{}}
}

// Acquire takes a place.
func (unl *Unlimited) Acquire() (Permit, bool) {
	unl.last++
	unl.permits[unl.last] = true
	return unl.last, true
}

// Release gives a place back; it reports false for an unknown permit.
func (unl *Unlimited) Release(per Permit, _ Outcome) bool {
	found := unl.permits[per]
	delete(unl.permits, per)
	return found
}

// Abandon gives a place back; it reports false for an unknown permit.
func (unl *Unlimited) Abandon(per Permit) bool {
	return unl.Release(per, Outcome{})
}

// Report learns whether the unit is warm.
func (unl *Unlimited) Report(rep Report) {
	unl.warm = rep.Warm
}

// SetMode changes nothing.
func (unl *Unlimited) SetMode(Mode) {}

// Resize changes nothing.
func (unl *Unlimited) Resize(int, int) {}

// HandOver tells nothing.
func (unl *Unlimited) HandOver() (Handoff, bool) {
	return Handoff{}, true
}

// TakeOver changes nothing.
func (unl *Unlimited) TakeOver(Handoff) bool {
	return true
}

// Limit returns one more than the places taken.
func (unl *Unlimited) Limit() int {
	return len(unl.permits) + 1
}

// Running returns how many places are taken.
func (unl *Unlimited) Running() int {
	return len(unl.permits)
}

// Foreign returns zero.
func (unl *Unlimited) Foreign() int {
	return 0
}

// Warm reports whether the last report said so.
func (unl *Unlimited) Warm() bool {
	return unl.warm
}
