package balancer

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagelever/lovagelever/assigner"
)

// Bounds of prefix affinity: the hashed bytes of a prompt, the number of units that a prefix maps to, and their maximum load relative to the mean.
const (
	PrefixBytes   = 256
	AffinityUnits = 2
	LoadFactor    = 1.25
)

// Candidate is a unit that can run the request, with its last known load; Fresh reports whether that load is recent.
type Candidate struct {
	Unit    string
	Home    string
	Zone    string
	Limit   int
	Running int
	Queued  int
	Warm    bool
	Fresh   bool
}

// Request holds the inputs of a selection; an empty Prefix has no affinity, and Tried contains the units that were already tried.
type Request struct {
	Prefix string
	Zone   string
	Tried  map[string]bool
}

// Breaker reports the units whose circuit is open, which get no requests.
type Breaker interface {
	IsOpen(unit string) bool
}

// Balancer selects units by prefix affinity and load; it is safe for concurrent use.
type Balancer struct {
	bre Breaker
	mux sync.Mutex
	rnd *rand.Rand
}

// New returns a balancer that draws random numbers from the seed; with a nil breaker all circuits count as closed.
func New(bre Breaker, seed uint64) *Balancer {
	return &Balancer{bre: bre, rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Prefix returns the affinity key of a prompt, a hash of its first PrefixBytes bytes.
func Prefix(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)]), 16)
}

// Pick returns the unit to send the request to, or false if each one has an open circuit or a limit of 0; a unit that was already tried is the last resort.
func (bal *Balancer) Pick(req Request, cands []Candidate) (Candidate, bool) {
	eligible := bal.eligible(req, cands)
	if len(eligible) == 0 {
		return Candidate{}, false
	}
	if req.Prefix != "" {
		if can, found := pickByAffinity(req.Prefix, eligible); found {
			return can, true
		}
	}
	return bal.lessLoaded(req, eligible), true
}

// eligible returns the first non-empty class of candidates: untried with fresh load, untried, tried.
func (bal *Balancer) eligible(req Request, cands []Candidate) []Candidate {
	var classes [3][]Candidate
	for _, can := range cands {
		if can.Limit <= 0 || bal.bre != nil && bal.bre.IsOpen(can.Unit) {
			continue
		}
		num := 0
		switch {
		case req.Tried[can.Unit]:
			num = 2
		case !can.Fresh:
			num = 1
		}
		classes[num] = append(classes[num], can)
	}
	for _, cls := range classes {
		if len(cls) > 0 {
			return cls
		}
	}
	return nil
}

// lessLoaded returns the less loaded of two random candidates.
func (bal *Balancer) lessLoaded(req Request, cands []Candidate) Candidate {
	if len(cands) == 1 {
		return cands[0]
	}
	bal.mux.Lock()
	one := bal.rnd.IntN(len(cands))
	two := bal.rnd.IntN(len(cands) - 1)
	bal.mux.Unlock()
	if two >= one {
		two++
	}
	if preferred(req, cands[two], cands[one]) {
		return cands[two]
	}
	return cands[one]
}

func preferred(req Request, can, oth Candidate) bool {
	if can.load() != oth.load() {
		return can.load() < oth.load()
	}
	if can.Warm != oth.Warm {
		return can.Warm
	}
	return can.Zone == req.Zone && oth.Zone != req.Zone
}

// pickByAffinity returns the highest-ranked unit for the prefix whose load including this request stays within LoadFactor times the mean.
func pickByAffinity(prefix string, cands []Candidate) (Candidate, bool) {
	outstanding, capacity := 1, 0
	for _, can := range cands {
		outstanding += can.outstanding()
		capacity += can.Limit
	}
	bound := LoadFactor * float64(outstanding) / float64(capacity)
	for _, can := range topRanked(prefix, cands) {
		if float64(can.outstanding()) < bound*float64(can.Limit) {
			return can, true
		}
	}
	return Candidate{}, false
}

// topRanked returns up to AffinityUnits candidates with the highest rendezvous hash scores for the prefix, highest first.
func topRanked(prefix string, cands []Candidate) []Candidate {
	var top [AffinityUnits]Candidate
	var scores [AffinityUnits]uint64
	num := 0
	for _, can := range cands {
		score := assigner.Score(prefix, can.Unit)
		pos := num
		for pos > 0 && score > scores[pos-1] {
			pos--
		}
		if pos == AffinityUnits {
			continue
		}
		copy(top[pos+1:], top[pos:])
		copy(scores[pos+1:], scores[pos:])
		top[pos], scores[pos] = can, score
		num = min(num+1, AffinityUnits)
	}
	return top[:num]
}

func (can Candidate) outstanding() int {
	return can.Running + can.Queued
}

func (can Candidate) load() float64 {
	return float64(can.outstanding()) / float64(can.Limit)
}
