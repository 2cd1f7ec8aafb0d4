package advertiser

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// requestProcessorTime is the processor time in seconds that an entry spends on one request.
	requestProcessorTime = 0.002
	// requestBytes is how many bytes of a request and its answer pass the link of an entry in one direction.
	requestBytes = 16 << 10
	// requestMemoryMB is the memory that a request holds while it runs, and ownMemoryMB what an entry holds without requests.
	requestMemoryMB = 0.125
	ownMemoryMB     = 24
	// requestDescriptors counts the connections of a running request to its caller and to its backend server, with as many again idle.
	requestDescriptors = 4
	// bytesPerMegabit converts the capacity of a link.
	bytesPerMegabit = 125_000
	// minAddresses is the number of addresses that a caller gets if there are as many, so that it still has some when several entries fail.
	minAddresses = 4
)

// Capacity returns how many requests the entry can carry by its scarcest resource, per second of processor time and link and at once for memory and descriptors, since a request takes about a second. It is zero if no resource is known.
func (ent Entry) Capacity() float64 {
	lowest := math.Inf(1)
	for _, one := range []struct{ has, needs float64 }{
		{ent.Cores, requestProcessorTime},
		{ent.LinkMbps * bytesPerMegabit, requestBytes},
		{float64(max(0, ent.MemoryMB-ownMemoryMB)), requestMemoryMB},
		{float64(ent.Descriptors), requestDescriptors},
	} {
		if one.has > 0 {
			lowest = min(lowest, one.has/one.needs)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// weightsOf returns the capacities of entries relative to the largest one; an entry whose capacity is unknown counts like the smallest of the others.
func weightsOf(list []Entry) []float64 {
	out := make([]float64, len(list))
	smallest, largest := math.Inf(1), 0.0
	for num, ent := range list {
		out[num] = ent.Capacity()
		if out[num] > 0 {
			smallest, largest = min(smallest, out[num]), max(largest, out[num])
		}
	}
	if largest == 0 {
		smallest, largest = 1, 1
	}
	for num := range out {
		if out[num] == 0 {
			out[num] = smallest
		}
		out[num] /= largest
	}
	return out
}

// chances returns for each weight the probability to be in a list of some size, in proportion to the weights where it is below 1. Of the largest weight, 1, all are in the list unless it is too short for such a share.
func chances(weights []float64, size int) []float64 {
	out := make([]float64, len(weights))
	order := make([]int, len(weights))
	rest := 0.0
	for num, wei := range weights {
		order[num] = num
		rest += wei
	}
	tooShort := rest >= float64(size)+0.5
	slices.SortStableFunc(order, func(one, two int) int { return cmp.Compare(weights[two], weights[one]) })
	for place, num := range order {
		left := float64(size - place)
		certain := left*weights[num] >= rest || weights[num] == 1 && !tooShort
		if !certain {
			for _, oth := range order[place:] {
				out[oth] = left * weights[oth] / rest
			}
			break
		}
		out[num] = 1
		rest -= weights[num]
	}
	return out
}

// selectFor returns the entries that a caller gets. The largest are always among them and smaller ones by their capacity, so that each entry gets callers in proportion although a caller picks any of its addresses with the same probability. The choice depends on the caller and on each entry alone: an entry that comes or goes changes no more than one place of a list.
func selectFor(caller string, list []Entry) []rankedEntry {
	weights := weightsOf(list)
	sum := 0.0
	for _, wei := range weights {
		sum += wei
	}
	size := min(max(int(math.Round(sum)), minAddresses), len(list), MaxAddresses)
	ranked := make([]rankedEntry, len(list))
	for num, chance := range chances(weights, size) {
		ranked[num].Entry = list[num]
		// An entry with probability 1 comes before all others.
		if chance < 1 {
			ranked[num].rank = unitHash(caller, list[num].Name) / chance
		}
	}
	slices.SortFunc(ranked, func(one, two rankedEntry) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.Name, two.Name))
	})
	return ranked[:size]
}

// rankedEntry is an entry with its rank in the list of one caller; the lowest ranks are in it.
type rankedEntry struct {
	Entry
	rank float64
}

// unitHash returns a number in (0, 1] for a caller and an entry.
func unitHash(caller, name string) float64 {
	return float64(xxhash.Sum64String(caller+" "+name)>>11+1) / (1 << 53)
}
