package slocounter

import "time"

// ring counts requests in buckets of equal width over a limited period.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	number int64
	count  Count
}

func newRing(width, retention time.Duration) ring {
	return ring{width: width, buckets: make([]bucket, retention/width+1)}
}

func (rin *ring) add(now time.Time, good bool) {
	number := rin.bucketNumber(now)
	buc := &rin.buckets[number%int64(len(rin.buckets))]
	if buc.number != number {
		*buc = bucket{number: number}
	}
	buc.count.Total++
	if good {
		buc.count.Good++
	}
}

func (rin *ring) sum(now time.Time, win time.Duration) Count {
	last := rin.bucketNumber(now)
	first := last - int64(win/rin.width)
	var out Count
	for _, buc := range rin.buckets {
		if buc.number > first && buc.number <= last {
			out.Good += buc.count.Good
			out.Total += buc.count.Total
		}
	}
	return out
}

func (rin *ring) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(rin.width)
}
