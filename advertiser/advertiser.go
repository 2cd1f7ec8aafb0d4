package advertiser

import (
	"cmp"
	"slices"
	"sync"
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
	Cores float64 `json:"cores,omitempty"`
	// LinkMbps, MemoryMB and Descriptors are the capacity of its link in megabits per second, its memory and its file descriptors, zero if unknown.
	LinkMbps    float64 `json:"link_mbps,omitempty"`
	MemoryMB    int     `json:"memory_mb,omitempty"`
	Descriptors int     `json:"descriptors,omitempty"`
	Stopping    bool    `json:"stopping"`
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

// Incarnation returns the incarnation that is registered under a name, 0 if none is.
func (adv *Advertiser) Incarnation(name string) uint64 {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	return adv.entries[name].Incarnation
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

// Live returns the number of live entries, which are this one and the others that have been heard from recently.
func (adv *Advertiser) Live() int {
	num := 1
	for _, ent := range adv.Others() {
		if adv.recentlyHeard(ent.Name) {
			num++
		}
	}
	return num
}

// Members returns the number of registered entries including this one, whether they run or not, and the rank of this one among them by name.
func (adv *Advertiser) Members() (num, rank int) {
	others := adv.Others()
	for _, ent := range others {
		if ent.Name < adv.self {
			rank++
		}
	}
	return len(others) + 1, rank
}

// Addresses returns the addresses that a caller in an availability zone can connect to: those of entries that run and are not stopping, only in its own zone if that has enough of them, and so chosen that each entry gets callers in proportion to its capacity. A caller is identified by any string that it keeps, such as its IP address.
func (adv *Advertiser) Addresses(caller, zone string) []string {
	var out []string
	for _, ent := range selectFor(caller, adv.available(zone)) {
		out = append(out, ent.CallerAddress)
	}
	return out
}

// available returns the entries that accept callers of an availability zone.
func (adv *Advertiser) available(zone string) []Entry {
	adv.mux.Lock()
	defer adv.mux.Unlock()
	var sameZone, all []Entry
	for _, ent := range adv.entries {
		accepts := adv.ready()
		if ent.Name != adv.self {
			accepts = adv.recentlyHeard(ent.Name) && !ent.Stopping
		}
		if !accepts {
			continue
		}
		all = append(all, ent)
		if ent.Zone == zone {
			sameZone = append(sameZone, ent)
		}
	}
	if len(sameZone) < minZoneEntries {
		return all
	}
	return sameZone
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
