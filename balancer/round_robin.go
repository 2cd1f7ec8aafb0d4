package balancer

import "sync/atomic"

// RoundRobin picks the candidates in turn; it is the baseline that Balancer is compared with.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a round-robin balancer that starts with the first candidate.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Pick returns the next candidate, or false when there is none.
func (rob *RoundRobin) Pick(_ Request, cands []Candidate) (Candidate, bool) {
	if len(cands) == 0 {
		return Candidate{}, false
	}
	turn := rob.next.Add(1) - 1
	return cands[turn%uint64(len(cands))], true
}
