package burner

import "time"

// ring keeps counts in buckets of equal width, for a bounded time.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	slot  int64
	count Count
}

func newRing(width, kept time.Duration) ring {
	return ring{width: width, buckets: make([]bucket, kept/width+1)}
}

func (rin *ring) add(now time.Time, good bool) {
	slot := rin.slot(now)
	buc := &rin.buckets[slot%int64(len(rin.buckets))]
	if buc.slot != slot {
		*buc = bucket{slot: slot}
	}
	buc.count.Total++
	if good {
		buc.count.Good++
	}
}

func (rin *ring) sum(now time.Time, win time.Duration) Count {
	last := rin.slot(now)
	first := last - int64(win/rin.width)
	var out Count
	for _, buc := range rin.buckets {
		if buc.slot > first && buc.slot <= last {
			out.Good += buc.count.Good
			out.Total += buc.count.Total
		}
	}
	return out
}

func (rin *ring) slot(now time.Time) int64 {
	return now.UnixNano() / int64(rin.width)
}
