package limiter

import "time"

// peak keeps the largest count of a sliding window.
type peak struct {
	held []heldCount
}

type heldCount struct {
	count int
	until time.Time
}

// change notes that a count held until now.
func (pea *peak) change(now time.Time, count int, from time.Time) {
	for len(pea.held) > 0 && pea.held[len(pea.held)-1].count <= count {
		pea.held = pea.held[:len(pea.held)-1]
	}
	pea.held = append(pea.held, heldCount{count, now})
	pea.trim(from)
}

func (pea *peak) max(count int, from time.Time) int {
	pea.trim(from)
	if len(pea.held) == 0 {
		return count
	}
	return max(count, pea.held[0].count)
}

func (pea *peak) trim(from time.Time) {
	for len(pea.held) > 0 && pea.held[0].until.Before(from) {
		pea.held = pea.held[1:]
	}
}
