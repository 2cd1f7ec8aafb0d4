package advertiser

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Entry is the registration of a running entry.
type Entry struct {
	Name string `json:"name"`
	Zone string `json:"availability_zone"`
	// CallerAddress and EntryAddress are the addresses IP:PORT for callers and for other entries.
	CallerAddress string `json:"callers"`
	EntryAddress  string `json:"entries"`
	// ForwardingAddress is the address IP:PORT for requests that other entries forward, empty if the entry takes none.
	ForwardingAddress string `json:"forwarding,omitempty"`
	Region            string `json:"region,omitempty"`
	Incarnation       uint64 `json:"incarnation"`
	// Cores is the processor capacity of the entry's VM, zero if unknown.
	Cores    float64 `json:"cores,omitempty"`
	Stopping bool    `json:"stopping"`
}

// MaxAddresses is the maximum number of addresses that a caller gets; callers accept no more than 64.
const MaxAddresses = 64

// minZoneEntries is the number of entries in the caller's own availability zone from which the other zones are left out.
const minZoneEntries = 2

// Advertiser holds the registered entries; it is safe for concurrent use.
type Advertiser struct {
	self          string
	recentlyHeard func(name string) bool
	mux           sync.Mutex
	entries       map[string]Entry
	ready         func() bool
}

// New returns an advertiser for the entry self; recentlyHeard reports whether another entry has been heard from recently, ready whether this one accepts callers.
func New(self string, recentlyHeard func(name string) bool, ready func() bool) *Advertiser {
	return &Advertiser{self: self, recentlyHeard: recentlyHeard, ready: ready, entries: map[string]Entry{}}
}

// Put stores the latest registration of an entry.
func (adv *Advertiser) Put(ent Entry) {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	adv.entries[ent.Name] = ent
}

// Remove deletes an entry that has left.
func (adv *Advertiser) Remove(name string) {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	delete(adv.entries, name)
}

// Others returns the registered entries except this one, sorted by name.
func (adv *Advertiser) Others() []Entry {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	var out []Entry
	for _, ent := range adv.entries {
		if ent.Name != adv.self {
			out = append(out, ent)
		}
	}
	slices.SortFunc(out, func(one, two Entry) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

// Live returns the number of live entries, which are this one and the others that have been heard from recently, and the rank of this one among them by name.
func (adv *Advertiser) Live() (num, rank int) {
	num = 1
	for _, ent := range adv.Others() {
		if !adv.recentlyHeard(ent.Name) {
			continue
		}
		num++
		if ent.Name < adv.self {
			rank++
		}
	}
	return num, rank
}

// Addresses returns the addresses that a caller in an availability zone can connect to: those of entries that run and are not stopping, only in its own zone if that has enough of them.
func (adv *Advertiser) Addresses(zone string) []string {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	var sameZone, all []Entry
	for _, ent := range adv.entries {
		available := adv.ready()
		if ent.Name != adv.self {
			available = adv.recentlyHeard(ent.Name) && !ent.Stopping
		}
		if !available {
			continue
		}
		all = append(all, ent)
		if ent.Zone == zone {
			sameZone = append(sameZone, ent)
		}
	}
	list := sameZone
	if len(sameZone) < minZoneEntries {
		list = all
	}
	// The order depends on the zone so that truncated lists do not omit the same entries everywhere.
	slices.SortFunc(list, func(one, two Entry) int {
		return cmp.Compare(xxhash.Sum64String(zone+one.Name), xxhash.Sum64String(zone+two.Name))
	})
	out := make([]string, 0, len(list))
	for _, ent := range list[:min(len(list), MaxAddresses)] {
		out = append(out, ent.CallerAddress)
	}
	return out
}

// MarkStopping marks an incarnation of another entry as no longer accepting callers.
func (adv *Advertiser) MarkStopping(name string, incarnation uint64) {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	if ent, known := adv.entries[name]; known && ent.Incarnation == incarnation {
		ent.Stopping = true
		adv.entries[name] = ent
	}
}
