package introducer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Entry is a running entry as it registered itself.
type Entry struct {
	Name string `json:"name"`
	Zone string `json:"availability_zone"`
	// Callers and Entries are addresses IP:PORT, by who connects there.
	Callers     string `json:"callers"`
	Entries     string `json:"entries"`
	Incarnation uint64 `json:"incarnation"`
	Stopping    bool   `json:"stopping"`
}

// MostAddresses is how many addresses a caller is told; callers take no more than 64.
const MostAddresses = 64

// nearFirst is how many entries of the caller's own availability zone make a list that needs no others.
const nearFirst = 2

// Introducer holds the registered entries; it is safe for concurrent use.
type Introducer struct {
	self  string
	heard func(name string) bool
	mux   sync.Mutex
	known map[string]Entry
	ready func() bool
}

// New returns an introducer of the entry self; heard reports whether another entry gave a sign not long ago, ready whether this one takes callers.
func New(self string, heard func(name string) bool, ready func() bool) *Introducer {
	return &Introducer{self: self, heard: heard, ready: ready, known: map[string]Entry{}}
}

// Put takes the newest registration of an entry.
func (itr *Introducer) Put(ent Entry) {
	itr.mux.Lock()
	defer itr.mux.Unlock()
	itr.known[ent.Name] = ent
}

// Remove forgets an entry that has left.
func (itr *Introducer) Remove(name string) {
	itr.mux.Lock()
	defer itr.mux.Unlock()
	delete(itr.known, name)
}

// Others returns the registered entries but this one.
func (itr *Introducer) Others() []Entry {
	itr.mux.Lock()
	defer itr.mux.Unlock()
	var out []Entry
	for _, ent := range itr.known {
		if ent.Name != itr.self {
			out = append(out, ent)
		}
	}
	slices.SortFunc(out, func(one, two Entry) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

// Live counts this entry and the others that gave a sign not long ago.
func (itr *Introducer) Live() int {
	num := 1
	for _, ent := range itr.Others() {
		if itr.heard(ent.Name) {
			num++
		}
	}
	return num
}

// Addresses returns where a caller in an availability zone may connect: entries that run and stay, of its own zone where there are enough of them.
func (itr *Introducer) Addresses(zone string) []string {
	itr.mux.Lock()
	defer itr.mux.Unlock()
	var near, all []Entry
	for _, ent := range itr.known {
		live := itr.ready()
		if ent.Name != itr.self {
			live = itr.heard(ent.Name) && !ent.Stopping
		}
		if !live {
			continue
		}
		all = append(all, ent)
		if ent.Zone == zone {
			near = append(near, ent)
		}
	}
	list := near
	if len(near) < nearFirst {
		list = all
	}
	// The order differs between zones, so that a list that is cut does not leave out the same entries everywhere.
	slices.SortFunc(list, func(one, two Entry) int {
		return cmp.Compare(xxhash.Sum64String(zone+one.Name), xxhash.Sum64String(zone+two.Name))
	})
	out := make([]string, 0, len(list))
	for _, ent := range list[:min(len(list), MostAddresses)] {
		out = append(out, ent.Callers)
	}
	return out
}

// Stop notes that an incarnation of another entry takes no more callers.
func (itr *Introducer) Stop(name string, incarnation uint64) {
	itr.mux.Lock()
	defer itr.mux.Unlock()
	if ent, known := itr.known[name]; known && ent.Incarnation == incarnation {
		ent.Stopping = true
		itr.known[name] = ent
	}
}
