package heartbeater

// HeardAny reports whether a heartbeat of any entry arrived recently.
func (hea *Heartbeater) HeardAny() bool {
	hea.mux.Lock()
	defer hea.mux.Unlock()
	for _, las := range hea.heard {
		if hea.opt.Clock.Since(las.at) < SilentAfterIntervals*Interval(len(hea.heard)) {
			return true
		}
	}
	return false
}
