package balancer

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagelever/lovagelever/assigner"
)

// Bounds of prefix affinity.
const (
	PrefixBytes = 256
	AffineUnits = 2
	LoadFactor  = 1.25
)

// Candidate is a unit that can run the request, with its load as last heard; Fresh says that this is recent.
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

// Request is what the choice depends on; an empty Prefix has no affinity, and Tried names the units just tried.
type Request struct {
	Prefix string
	Zone   string
	Tried  map[string]bool
}

// Breaker tells which units get no requests for now.
type Breaker interface {
	Open(unit string) bool
}

// Balancer picks units by prefix affinity and load; it is safe for concurrent use.
type Balancer struct {
	bre Breaker
	mux sync.Mutex
	rnd *rand.Rand
}

// New returns a balancer with a seeded source of random choices; a nil breaker is always closed.
func New(bre Breaker, seed uint64) *Balancer {
	return &Balancer{bre: bre, rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Prefix returns the name of a prompt's prefix for affinity.
func Prefix(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt[:min(len(prompt), PrefixBytes)]), 16)
}

// Pick returns the unit to ask, or false when no circuit lets a request pass; a unit just tried comes only when nothing else is left.
func (bal *Balancer) Pick(req Request, cands []Candidate) (Candidate, bool) {
	fit := bal.fit(req, cands)
	if len(fit) == 0 {
		return Candidate{}, false
	}
	if req.Prefix != "" {
		if can, found := affine(req.Prefix, fit); found {
			return can, true
		}
	}
	return bal.lower(req, fit), true
}

// fit returns the best class of candidates that is not empty: untried and fresh, untried, tried.
func (bal *Balancer) fit(req Request, cands []Candidate) []Candidate {
	var classes [3][]Candidate
	for _, can := range cands {
		if can.Limit <= 0 || bal.bre != nil && bal.bre.Open(can.Unit) {
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

// lower returns the lower loaded of two random candidates.
func (bal *Balancer) lower(req Request, fit []Candidate) Candidate {
	if len(fit) == 1 {
		return fit[0]
	}
	bal.mux.Lock()
	one := bal.rnd.IntN(len(fit))
	two := bal.rnd.IntN(len(fit) - 1)
	bal.mux.Unlock()
	if two >= one {
		two++
	}
	if better(req, fit[two], fit[one]) {
		return fit[two]
	}
	return fit[one]
}

func better(req Request, can, oth Candidate) bool {
	if can.load() != oth.load() {
		return can.load() < oth.load()
	}
	if can.Warm != oth.Warm {
		return can.Warm
	}
	return can.Zone == req.Zone && oth.Zone != req.Zone
}

// affine returns the first of the units that rank highest for the prefix whose load with this request stays within the bound.
func affine(prefix string, fit []Candidate) (Candidate, bool) {
	work, room := 1, 0
	for _, can := range fit {
		work += can.work()
		room += can.Limit
	}
	bound := LoadFactor * float64(work) / float64(room)
	for _, can := range ranked(prefix, fit) {
		if float64(can.work()) < bound*float64(can.Limit) {
			return can, true
		}
	}
	return Candidate{}, false
}

// ranked returns the AffineUnits candidates with the highest scores, best first.
func ranked(prefix string, fit []Candidate) []Candidate {
	var top [AffineUnits]Candidate
	var scores [AffineUnits]uint64
	num := 0
	for _, can := range fit {
		score := assigner.Score(prefix, can.Unit)
		pos := num
		for pos > 0 && score > scores[pos-1] {
			pos--
		}
		if pos == AffineUnits {
			continue
		}
		copy(top[pos+1:], top[pos:])
		copy(scores[pos+1:], scores[pos:])
		top[pos], scores[pos] = can, score
		num = min(num+1, AffineUnits)
	}
	return top[:num]
}

func (can Candidate) work() int {
	return can.Running + can.Queued
}

func (can Candidate) load() float64 {
	return float64(can.work()) / float64(can.Limit)
}
