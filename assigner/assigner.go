package assigner

import "github.com/cespare/xxhash/v2"

// Candidate is an entry that duties can be assigned to.
type Candidate struct {
	Name   string
	Zone   string
	Region string
}

// Pool indexes candidates by availability zone and by region.
type Pool struct {
	all     []hashedCandidate
	zones   map[string][]hashedCandidate
	regions map[string][]hashedCandidate
}

type hashedCandidate struct {
	Candidate
	hash uint64
}

// NewPool returns a Pool of the candidates.
func NewPool(cands []Candidate) *Pool {
	poo := &Pool{zones: map[string][]hashedCandidate{}, regions: map[string][]hashedCandidate{}}
	for _, can := range cands {
		one := hashedCandidate{Candidate: can, hash: hashName(can.Name)}
		poo.all = append(poo.all, one)
		poo.zones[can.Zone] = append(poo.zones[can.Zone], one)
		poo.regions[can.Region] = append(poo.regions[can.Region], one)
	}
	return poo
}

// Pick returns the candidate with the highest score for the subject, or false if the pool is empty.
// It chooses among the candidates of the availability zone; if there are none, of the region; if there are none, among all.
func (poo *Pool) Pick(subject, zone, region string) (Candidate, bool) {
	if near := poo.zones[zone]; len(near) > 0 {
		return pick(subject, near)
	}
	if near := poo.regions[region]; len(near) > 0 {
		return pick(subject, near)
	}
	return pick(subject, poo.all)
}

func pick(subject string, cands []hashedCandidate) (Candidate, bool) {
	var best Candidate
	var bestScore uint64
	hash := xxhash.Sum64String(subject)
	for num, can := range cands {
		score := mix(hash ^ can.hash)
		if num == 0 || score > bestScore || score == bestScore && can.Name < best.Name {
			best, bestScore = can.Candidate, score
		}
	}
	return best, len(cands) > 0
}

// Score returns the rendezvous hashing weight of a name for a subject.
func Score(subject, name string) uint64 {
	return mix(xxhash.Sum64String(subject) ^ hashName(name))
}

func hashName(name string) uint64 {
	return mix(xxhash.Sum64String(name))
}

// mix is a 64-bit finalizer with the constants of MurmurHash3.
func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}
