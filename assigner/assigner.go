package assigner

import "github.com/cespare/xxhash/v2"

// Candidate is an entry that may take a duty.
type Candidate struct {
	Name   string
	Zone   string
	Region string
}

// Pick returns the candidate that has the highest hash with the subject; the order of the candidates does not matter.
func Pick(subject string, cands []Candidate) (Candidate, bool) {
	var best Candidate
	var bestScore uint64
	found := false
	for _, can := range cands {
		score := Score(subject, can.Name)
		if !found || score > bestScore || score == bestScore && can.Name < best.Name {
			best, bestScore, found = can, score, true
		}
	}
	return best, found
}

// PickNear prefers candidates of the availability zone, then of the region, then any.
func PickNear(subject, zone, region string, cands []Candidate) (Candidate, bool) {
	near := filter(cands, func(can Candidate) bool { return can.Zone == zone })
	if len(near) == 0 {
		near = filter(cands, func(can Candidate) bool { return can.Region == region })
	}
	if len(near) == 0 {
		near = cands
	}
	return Pick(subject, near)
}

// Score is the rendezvous weight of a name for a subject.
func Score(subject, name string) uint64 {
	return mix(xxhash.Sum64String(subject) ^ mix(xxhash.Sum64String(name)))
}

func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}

func filter(cands []Candidate, keep func(Candidate) bool) []Candidate {
	var out []Candidate
	for _, can := range cands {
		if keep(can) {
			out = append(out, can)
		}
	}
	return out
}
