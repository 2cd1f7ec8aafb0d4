package nominator

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// refreshInterval is the time between two looks at the candidates: sorting hundreds of them for each call would cost noticeable processor time.
const refreshInterval = 200 * time.Millisecond

// Readers is how many entries read the store for all: two, so that one may fail.
const Readers = 2

// Candidate is an entry that may read the store. Cores is its processor capacity, zero if unknown, Reads says that it reads the store and is up to date, and Last ranks it after all others, because it does not reach all services.
type Candidate struct {
	Name  string
	Zone  string
	Cores float64
	Reads bool
	Last  bool
}

// Options configures a Nominator. Candidates returns the live entries including Self, and Step the time within which entries learn that another one reads the store.
type Options struct {
	Self       string
	Candidates func() []Candidate
	Step       func() time.Duration
	Clock      clockwork.Clock
}

// Nominator decides whether this entry reads the store; it is safe for concurrent use.
type Nominator struct {
	opt Options
	mux sync.Mutex
	// before and reading are the results of the last look at the candidates, at lookedAt.
	before   int
	reading  int
	first    []string
	lookedAt time.Time
	// lackSince is when fewer than Readers preferred entries began to read, zero while enough do.
	lackSince time.Time
}

// New returns a nominator.
func New(opt Options) *Nominator {
	return &Nominator{opt: opt}
}

// Reads reports whether this entry should read the store: it is among the preferred entries, or too few of them read it and those between have had time to begin. The wait grows with the logarithm of the position, so that a few entries step in and not all of them at once.
func (nom *Nominator) Reads() bool {
	nom.mux.Lock()
	defer nom.mux.Unlock()
	now := nom.opt.Clock.Now()
	nom.refresh(now)
	if nom.reading >= Readers {
		nom.lackSince = time.Time{}
		return false
	}
	if nom.lackSince.IsZero() {
		nom.lackSince = now
	}
	wait := time.Duration(bits.Len(uint(nom.before/Readers))) * nom.opt.Step()
	return now.Sub(nom.lackSince) >= wait
}

// Preferred returns how many live entries are preferred to this one.
func (nom *Nominator) Preferred() int {
	nom.mux.Lock()
	defer nom.mux.Unlock()
	nom.refresh(nom.opt.Clock.Now())
	return nom.before
}

func (nom *Nominator) refresh(now time.Time) {
	if nom.lookedAt.IsZero() || now.Sub(nom.lookedAt) >= refreshInterval {
		nom.look()
		nom.lookedAt = now
	}
}

// First returns the names of the Readers most preferred live entries.
func (nom *Nominator) First() []string {
	nom.mux.Lock()
	defer nom.mux.Unlock()
	nom.refresh(nom.opt.Clock.Now())
	return nom.first
}

// look counts the live entries that are preferred to this one, and those of them that read the store.
func (nom *Nominator) look() {
	nom.before, nom.reading, nom.first = 0, 0, nil
	found := false
	for num, can := range order(nom.opt.Candidates()) {
		if num < Readers {
			nom.first = append(nom.first, can.Name)
		}
		found = found || can.Name == nom.opt.Self
		if found {
			continue
		}
		nom.before++
		if can.Reads {
			nom.reading++
		}
	}
}

// order sorts the candidates by preference: the first of each availability zone, then the second of each, and among these by capacity, so that readers do not fail together and have processor time to spare.
func order(list []Candidate) []Candidate {
	byCapacity := func(one, two Candidate) int {
		return cmp.Or(cmp.Compare(two.Cores, one.Cores), cmp.Compare(xxhash.Sum64String(one.Name), xxhash.Sum64String(two.Name)))
	}
	list = slices.Clone(list)
	slices.SortFunc(list, byCapacity)
	rank, inZone := map[string]int{}, map[string]int{}
	for _, can := range list {
		rank[can.Name] = inZone[can.Zone]
		inZone[can.Zone]++
	}
	for _, can := range list {
		if can.Last {
			rank[can.Name] += len(list)
		}
	}
	slices.SortStableFunc(list, func(one, two Candidate) int { return cmp.Compare(rank[one.Name], rank[two.Name]) })
	return list
}
