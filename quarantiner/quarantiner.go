package quarantiner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/recorder"
)

// CrashesToCondemn is the number of distinct crashes that condemns a request.
const CrashesToCondemn = 2

// The defaults of Settings.
const (
	DefaultMaxFacts = 8192
	DefaultMaxAge   = 30 * time.Minute
)

// Settings bound what a Quarantiner remembers; zero fields take their defaults.
type Settings struct {
	MaxFacts int
	MaxAge   time.Duration
}

// Condemned tells whether the folded state refuses a fingerprint.
type Condemned interface {
	Condemned(fingerprint string) bool
}

// Proposer appends a condemnation to the log in its own time; it must not call the Quarantiner.
type Proposer interface {
	Propose(con recorder.Condemn)
}

// Fact says that a request was running on a unit at a crash, or, when Cleared, that it has since run to its end.
type Fact struct {
	Fingerprint string
	Workspace   string
	Unit        string
	CrashID     string
	At          time.Time
	Cleared     bool
}

// Quarantiner counts the distinct crashes at which a request was running.
type Quarantiner struct {
	set Settings
	clk clockwork.Clock
	con Condemned
	pro Proposer

	mu    sync.Mutex
	facts map[string]map[string]Fact
	count int
}

// New returns a Quarantiner that knows no fact.
func New(set Settings, clk clockwork.Clock, con Condemned, pro Proposer) *Quarantiner {
	if set.MaxFacts <= 0 {
		set.MaxFacts = DefaultMaxFacts
	}
	if set.MaxAge <= 0 {
		set.MaxAge = DefaultMaxAge
	}
	return &Quarantiner{set: set, clk: clk, con: con, pro: pro, facts: map[string]map[string]Fact{}}
}

// Crashed notes that a request of a workspace was running on a unit when it crashed.
func (qua *Quarantiner) Crashed(fpr, workspace, unit, crashID string) {
	qua.Merge(Fact{Fingerprint: fpr, Workspace: workspace, Unit: unit, CrashID: crashID, At: qua.clk.Now()})
}

// Passed notes that a request ran to its end, which clears it of the crashes known so far.
func (qua *Quarantiner) Passed(fpr string) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	for id, fac := range qua.facts[fpr] {
		fac.Cleared = true
		qua.facts[fpr][id] = fac
	}
}

// Suspect reports whether a request must run on a unit with no other suspect.
func (qua *Quarantiner) Suspect(fpr string) bool {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	return len(qua.held(fpr)) > 0
}

// Condemned reports whether a request is refused for good.
func (qua *Quarantiner) Condemned(fpr string) bool {
	if qua.con.Condemned(fpr) {
		return true
	}
	qua.mu.Lock()
	defer qua.mu.Unlock()
	return len(qua.held(fpr)) >= CrashesToCondemn
}

// Merge takes in a fact, of this entry or of another; a fact twice counts once.
func (qua *Quarantiner) Merge(fac Fact) {
	qua.mu.Lock()
	before := len(qua.held(fac.Fingerprint))
	qua.add(fac)
	crashes := qua.held(fac.Fingerprint)
	qua.mu.Unlock()
	if before >= CrashesToCondemn || len(crashes) < CrashesToCondemn || qua.con.Condemned(fac.Fingerprint) {
		return
	}
	qua.pro.Propose(recorder.Condemn{Fingerprint: fac.Fingerprint, Workspace: fac.Workspace, Crashed: crashes})
}

// Facts returns what is remembered, for other entries to merge.
func (qua *Quarantiner) Facts() []Fact {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.forget()
	out := make([]Fact, 0, qua.count)
	for _, byCrash := range qua.facts {
		for _, fac := range byCrash {
			out = append(out, fac)
		}
	}
	return out
}

// held returns the crashes that count against a request, in order.
func (qua *Quarantiner) held(fpr string) []string {
	var out []string
	for id, fac := range qua.facts[fpr] {
		if !fac.Cleared && !qua.old(fac) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (qua *Quarantiner) old(fac Fact) bool {
	return qua.clk.Since(fac.At) > qua.set.MaxAge
}

func (qua *Quarantiner) add(fac Fact) {
	if now := qua.clk.Now(); fac.At.After(now) {
		fac.At = now
	}
	if qua.old(fac) {
		return
	}
	known, again := qua.facts[fac.Fingerprint][fac.CrashID]
	if again {
		known.Cleared = known.Cleared || fac.Cleared
		qua.facts[fac.Fingerprint][fac.CrashID] = known
		return
	}
	qua.makeRoom()
	if qua.facts[fac.Fingerprint] == nil {
		qua.facts[fac.Fingerprint] = map[string]Fact{}
	}
	qua.facts[fac.Fingerprint][fac.CrashID] = fac
	qua.count++
}

func (qua *Quarantiner) makeRoom() {
	if qua.count < qua.set.MaxFacts {
		return
	}
	qua.forget()
	if qua.count < qua.set.MaxFacts {
		return
	}
	var all []Fact
	for _, byCrash := range qua.facts {
		for _, fac := range byCrash {
			all = append(all, fac)
		}
	}
	slices.SortFunc(all, func(one, two Fact) int {
		if cmp := one.At.Compare(two.At); cmp != 0 {
			return cmp
		}
		return strings.Compare(one.Fingerprint+one.CrashID, two.Fingerprint+two.CrashID)
	})
	for _, fac := range all[:1+qua.set.MaxFacts/8] {
		qua.drop(fac)
	}
}

func (qua *Quarantiner) forget() {
	for _, byCrash := range qua.facts {
		for _, fac := range byCrash {
			if qua.old(fac) {
				qua.drop(fac)
			}
		}
	}
}

func (qua *Quarantiner) drop(fac Fact) {
	delete(qua.facts[fac.Fingerprint], fac.CrashID)
	if len(qua.facts[fac.Fingerprint]) == 0 {
		delete(qua.facts, fac.Fingerprint)
	}
	qua.count--
}
