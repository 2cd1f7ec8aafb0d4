package peerpicker

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// avoidFor is how long an entry that did not take a request gets no further ones.
const avoidFor = time.Second

// Peer is another entry; Address is the IP:PORT at which it takes requests of entries, and Cores its processor capacity, zero if unknown.
type Peer struct {
	Name    string
	Zone    string
	Address string
	Cores   float64
}

// Options configures a Picker: Zone is this entry's availability zone, Peers returns the entries that accept requests, and Random returns numbers in [0, 1), by default from math/rand.
type Options struct {
	Zone   string
	Peers  func() []Peer
	Random func() float64
	Clock  clockwork.Clock
}

// Picker knows which entries reach which services; it is safe for concurrent use.
type Picker struct {
	opt Options
	mux sync.Mutex
	// silent holds, for each entry, the keys of the services of which no backend server answers it, and avoid until when entries that did not take a request are left out.
	silent map[string][]uint64
	avoid  map[string]time.Time
}

// New returns a picker that takes all entries for able to reach all services.
func New(opt Options) *Picker {
	if opt.Random == nil {
		opt.Random = rand.Float64
	}
	return &Picker{opt: opt, silent: map[string][]uint64{}, avoid: map[string]time.Time{}}
}

// RecordSilent records the keys of the services of which no backend server answers an entry, as it says.
func (pic *Picker) RecordSilent(name string, services []uint64) {
	pic.mux.Lock()
	defer pic.mux.Unlock()
	if len(services) > 0 {
		pic.silent[name] = services
		return
	}
	delete(pic.silent, name)
}

// AnySilent reports whether an entry has said that no backend server of a service answers it.
func (pic *Picker) AnySilent(name string) bool {
	pic.mux.Lock()
	defer pic.mux.Unlock()
	return len(pic.silent[name]) > 0
}

// Avoid leaves out an entry that did not take a request for a while.
func (pic *Picker) Avoid(name string) {
	pic.mux.Lock()
	defer pic.mux.Unlock()
	now := pic.opt.Clock.Now()
	maps.DeleteFunc(pic.avoid, func(_ string, until time.Time) bool { return !until.After(now) })
	pic.avoid[name] = now.Add(avoidFor)
}

// Pick returns a random entry that reaches the service with a key and is not excluded, in proportion to the capacities. It is in this entry's availability zone if at least half of the entries there reach the service, so that none of them gets more than twice its own requests.
func (pic *Picker) Pick(service uint64, exclude []string) (Peer, bool) {
	all := pic.opt.Peers()
	list := slices.DeleteFunc(pic.usable(service, all), func(pee Peer) bool { return slices.Contains(exclude, pee.Name) })
	near := slices.DeleteFunc(slices.Clone(list), pic.isFar)
	inZone := len(slices.DeleteFunc(all, pic.isFar)) + 1
	if 2*len(near) >= inZone {
		list = near
	}
	return pic.draw(list)
}

func (pic *Picker) isFar(pee Peer) bool {
	return pee.Zone != pic.opt.Zone
}

// AnyReaches reports whether an entry reaches the service with a key, as far as known.
func (pic *Picker) AnyReaches(service uint64) bool {
	return len(pic.usable(service, pic.opt.Peers())) > 0
}

// Usable reports whether an entry accepts requests and reaches the service with a key, as far as known.
func (pic *Picker) Usable(service uint64, name string) bool {
	return slices.ContainsFunc(pic.usable(service, pic.opt.Peers()), func(pee Peer) bool { return pee.Name == name })
}

// usable returns those of the entries that reach a service and are not left out.
func (pic *Picker) usable(service uint64, all []Peer) []Peer {
	pic.mux.Lock()
	defer pic.mux.Unlock()
	now := pic.opt.Clock.Now()
	return slices.DeleteFunc(slices.Clone(all), func(pee Peer) bool {
		return slices.Contains(pic.silent[pee.Name], service) || pic.avoid[pee.Name].After(now)
	})
}

func (pic *Picker) draw(list []Peer) (Peer, bool) {
	if len(list) == 0 {
		return Peer{}, false
	}
	sum := 0.0
	for _, pee := range list {
		sum += pee.weight()
	}
	left := pic.opt.Random() * sum
	for _, pee := range list {
		if left -= pee.weight(); left < 0 {
			return pee, true
		}
	}
	return list[len(list)-1], true
}

func (pee Peer) weight() float64 {
	if pee.Cores <= 0 {
		return 1
	}
	return pee.Cores
}
