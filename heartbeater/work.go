package heartbeater

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/lovagelever/lovagelever/estimator"
)

const (
	// unreadQuantum and committedQuantum are the numbers of tokens that one step of the encoded work stands for; numbers are rounded up.
	unreadQuantum    = 64
	committedQuantum = 256
	// maxQuanta bounds an encoded number of tokens to three bytes.
	maxQuanta = 1<<21 - 1
	// workBytes is the largest size of the unread and committed tokens of one unit.
	workBytes = 6
	// rateResolution is the number of steps of one request per second: a small entry gets a few requests per minute from some pools.
	rateResolution = 64
	// maxDemands bounds the pools in a heartbeat.
	maxDemands = 8
	// maxRate bounds the rates of a damaged datagram, per second.
	maxRate = 1 << 32
)

// Demand is what the callers of one entry ask a pool for; Pool is the hash of the pool's name.
type Demand struct {
	Pool uint64
	estimator.Demand
}

// busiestFirst returns the keys of units ordered by their work, so that the units with the most work are in a datagram that is too small for all.
func busiestFirst[K cmp.Ordered](running map[K]estimator.Work) []K {
	keys := make([]K, 0, len(running))
	for key := range running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(one, two K) int {
		a, b := running[one], running[two]
		return cmp.Or(cmp.Compare(b.Unread+b.Committed, a.Unread+a.Committed), cmp.Compare(b.Requests, a.Requests), cmp.Compare(one, two))
	})
	return keys
}

// quanta returns a number of tokens in steps of a quantum, rounded up.
func quanta(tokens, quantum int) uint64 {
	return uint64(min((max(0, tokens)+quantum-1)/quantum, maxQuanta))
}

func tokens(quanta uint64, quantum int) int {
	return int(min(quanta, maxQuanta)) * quantum
}

// fields is a list of numbers that a datagram carries beside the parts that entries of earlier versions know.
type fields []uint64

func (fie fields) bytes() int {
	sum := 0
	for _, val := range fie {
		sum += len(binary.AppendUvarint(nil, val))
	}
	return sum
}

// next removes and returns the first number, 0 if there is none left.
func (fie *fields) next() uint64 {
	if len(*fie) == 0 {
		return 0
	}
	val := (*fie)[0]
	*fie = (*fie)[1:]
	return val
}

func (fie *fields) addDemands(list []Demand) {
	list = list[:min(len(list), maxDemands)]
	*fie = append(*fie, uint64(len(list)))
	for _, dem := range list {
		*fie = append(*fie, dem.Pool, wholeRate(dem.Requests*rateResolution), wholeRate(dem.PromptTokens), wholeRate(dem.AnswerTokens))
	}
}

func (fie *fields) demands() []Demand {
	const width = 4
	var out []Demand
	for num := min(fie.next(), maxDemands); num > 0 && len(*fie) >= width; num-- {
		dem := Demand{Pool: fie.next()}
		dem.Requests = fie.rate() / rateResolution
		dem.PromptTokens, dem.AnswerTokens = fie.rate(), fie.rate()
		out = append(out, dem)
	}
	return out
}

// wholeRate returns a rate as a whole number, 0 if it is negative or not a number.
func wholeRate(val float64) uint64 {
	if !(val > 0) {
		return 0
	}
	return uint64(math.Round(min(val, maxRate)))
}

// addWork adds the tokens of units, in the order in which the datagram has their requests.
func (fie *fields) addWork(running map[uint64]estimator.Work, units []uint64) {
	*fie = append(*fie, uint64(len(units)))
	for _, uni := range units {
		fie.addTokens(running[uni])
	}
}

func (fie *fields) addTokens(wor estimator.Work) {
	*fie = append(*fie, quanta(wor.Unread, unreadQuantum), quanta(wor.Committed, committedQuantum))
}

func (fie *fields) work() []estimator.Work {
	const width = 2
	var out []estimator.Work
	for num := fie.next(); num > 0 && len(*fie) >= width; num-- {
		out = append(out, estimator.Work{Unread: tokens(fie.next(), unreadQuantum), Committed: tokens(fie.next(), committedQuantum)})
	}
	return out
}
