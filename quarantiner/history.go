package quarantiner

import "time"

// history holds when requests with a subject last began that proved sound; it forgets the least recently written half at its limit.
type history struct {
	limit int
	now   map[string]time.Time
	old   map[string]time.Time
}

func newHistory(limit int) *history {
	return &history{limit: limit, now: map[string]time.Time{}, old: map[string]time.Time{}}
}

func (his *history) last(sub string) time.Time {
	at, known := his.now[sub]
	if !known {
		at = his.old[sub]
	}
	return at
}

// record stores a time unless a later one is known, and reports whether it did.
func (his *history) record(sub string, at time.Time) bool {
	if !at.After(his.last(sub)) {
		return false
	}
	if len(his.now) >= his.limit/2 {
		his.old, his.now = his.now, map[string]time.Time{}
	}
	his.now[sub] = at
	return true
}
