package assigner

import "github.com/cespare/xxhash/v2"

// Candidate is an entry that may take a duty.
type Candidate struct {
	Name   string
	Zone   string
	Region string
}

// Pool holds candidates, by availability zone and by region.
type Pool struct {
	all     []hashed
	zones   map[string][]hashed
	regions map[string][]hashed
}

type hashed struct {
	Candidate
	hash uint64
}

// NewPool returns a pool of the candidates.
func NewPool(cands []Candidate) *Pool {
	poo := &Pool{zones: map[string][]hashed{}, regions: map[string][]hashed{}}
	for _, can := range cands {
		one := hashed{Candidate: can, hash: hashName(can.Name)}
		poo.all = append(poo.all, one)
		poo.zones[can.Zone] = append(poo.zones[can.Zone], one)
		poo.regions[can.Region] = append(poo.regions[can.Region], one)
	}
	return poo
}

// Pick returns the candidate that has the highest score with the subject: of the availability zone, else of the region, else of all.
func (poo *Pool) Pick(subject, zone, region string) (Candidate, bool) {
	if near := poo.zones[zone]; len(near) > 0 {
		return pick(subject, near)
	}
	if near := poo.regions[region]; len(near) > 0 {
		return pick(subject, near)
	}
	return pick(subject, poo.all)
}

func pick(subject string, cands []hashed) (Candidate, bool) {
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

// Score is the rendezvous weight of a name for a subject.
func Score(subject, name string) uint64 {
	return mix(xxhash.Sum64String(subject) ^ hashName(name))
}

func hashName(name string) uint64 {
	return mix(xxhash.Sum64String(name))
}

func mix(val uint64) uint64 {
	val ^= val >> 33
	val *= 0xff51afd7ed558ccd
	val ^= val >> 33
	val *= 0xc4ceb9fe1a85ec53
	return val ^ val>>33
}
