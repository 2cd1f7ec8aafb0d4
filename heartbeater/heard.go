package heartbeater

import "time"

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

// Last returns the incarnation and the number of the last heartbeat of an entry, and how long ago it was received; known is false if none arrived recently.
func (hea *Heartbeater) Last(name string) (incarnation, seq uint64, ago time.Duration, known bool) {
	hea.mux.Lock()
	defer hea.mux.Unlock()
	las, known := hea.heard[name]
	return las.incarnation, las.seq, hea.opt.Clock.Since(las.at), known
}
