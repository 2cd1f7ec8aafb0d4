package limiter

// Unlimited admits every request; it is the baseline that Limiter is compared with.
type Unlimited struct {
	last    Permit
	permits map[Permit]bool
	warm    bool
}

// NewUnlimited returns a limiter without a limit.
func NewUnlimited() *Unlimited {
	return &Unlimited{permits: map[Permit]bool{}}
}

// Acquire always admits the request.
func (unl *Unlimited) Acquire() (Permit, bool) {
	unl.last++
	unl.permits[unl.last] = true
	return unl.last, true
}

// Release returns a permit; it reports false for an unknown one.
func (unl *Unlimited) Release(per Permit, _ Outcome) bool {
	found := unl.permits[per]
	delete(unl.permits, per)
	return found
}

// Abandon returns a permit; it reports false for an unknown one.
func (unl *Unlimited) Abandon(per Permit) bool {
	return unl.Release(per, Outcome{})
}

// Report records whether the unit is warm.
func (unl *Unlimited) Report(rep Report) {
	unl.warm = rep.Warm
}

// SetMode does nothing.
func (unl *Unlimited) SetMode(Mode) {}

// Resize does nothing.
func (unl *Unlimited) Resize(int, int) {}

// HandOver returns an empty Handoff and true.
func (unl *Unlimited) HandOver() (Handoff, bool) {
	return Handoff{}, true
}

// TakeOver does nothing and returns true.
func (unl *Unlimited) TakeOver(Handoff) bool {
	return true
}

// Limit returns one more than the number of permits held.
func (unl *Unlimited) Limit() int {
	return len(unl.permits) + 1
}

// Running returns the number of permits held.
func (unl *Unlimited) Running() int {
	return len(unl.permits)
}

// Foreign returns zero.
func (unl *Unlimited) Foreign() int {
	return 0
}

// Warm reports whether the unit was warm in the last report.
func (unl *Unlimited) Warm() bool {
	return unl.warm
}
