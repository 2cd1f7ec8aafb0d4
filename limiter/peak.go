package limiter

import "time"

// peak tracks the maximum of a count over a sliding window with a monotonic queue.
type peak struct {
	samples []peakSample
}

type peakSample struct {
	count int
	until time.Time
}

// record adds a count that was valid until now and drops samples from before the window.
func (pea *peak) record(now time.Time, count int, from time.Time) {
	for len(pea.samples) > 0 && pea.samples[len(pea.samples)-1].count <= count {
		pea.samples = pea.samples[:len(pea.samples)-1]
	}
	pea.samples = append(pea.samples, peakSample{count, now})
	pea.trim(from)
}

func (pea *peak) max(count int, from time.Time) int {
	pea.trim(from)
	if len(pea.samples) == 0 {
		return count
	}
	return max(count, pea.samples[0].count)
}

func (pea *peak) trim(from time.Time) {
	for len(pea.samples) > 0 && pea.samples[0].until.Before(from) {
		pea.samples = pea.samples[1:]
	}
}
