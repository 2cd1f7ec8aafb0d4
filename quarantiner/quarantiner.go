package quarantiner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/recorder"
)

// CrashesToCondemn is the number of distinct crashes after which a request is condemned.
const CrashesToCondemn = 2

// Default values of Settings.
const (
	DefaultMaxObservations = 8192
	DefaultMaxAge          = 30 * time.Minute
)

// Settings limits the number and the age of the observations that a Quarantiner keeps; zero fields take their defaults.
type Settings struct {
	MaxObservations int
	MaxAge          time.Duration
}

// CondemnedSet reports whether the state applied from the replicated log condemns a fingerprint.
type CondemnedSet interface {
	Condemned(fingerprint string) bool
}

// Proposer appends a condemnation to the replicated log asynchronously; implementations must not call the Quarantiner.
type Proposer interface {
	Propose(con recorder.Condemn)
}

// CrashObservation records that a request was running on a unit when the unit crashed; Cleared means that the request has since completed.
type CrashObservation struct {
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
	con CondemnedSet
	pro Proposer

	mu           sync.Mutex
	observations map[string]map[string]CrashObservation
	count        int
}

// New returns a Quarantiner without observations.
func New(set Settings, clk clockwork.Clock, con CondemnedSet, pro Proposer) *Quarantiner {
	if set.MaxObservations <= 0 {
		set.MaxObservations = DefaultMaxObservations
	}
	if set.MaxAge <= 0 {
		set.MaxAge = DefaultMaxAge
	}
	return &Quarantiner{set: set, clk: clk, con: con, pro: pro, observations: map[string]map[string]CrashObservation{}}
}

// RecordCrash records that a request of a workspace was running on a unit when the unit crashed.
func (qua *Quarantiner) RecordCrash(fpr, workspace, unit, crashID string) {
	qua.Merge(CrashObservation{Fingerprint: fpr, Workspace: workspace, Unit: unit, CrashID: crashID, At: qua.clk.Now()})
}

// RecordCompletion records that a request completed, which clears it of all crashes known so far.
func (qua *Quarantiner) RecordCompletion(fpr string) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	for id, obs := range qua.observations[fpr] {
		obs.Cleared = true
		qua.observations[fpr][id] = obs
	}
}

// IsSuspect reports whether a request is a suspect, which must run on a unit with no other suspect.
func (qua *Quarantiner) IsSuspect(fpr string) bool {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	return len(qua.countedCrashes(fpr)) > 0
}

// Condemned reports whether a request is condemned, by the applied log or by the observations of this entry.
func (qua *Quarantiner) Condemned(fpr string) bool {
	if qua.con.Condemned(fpr) {
		return true
	}
	qua.mu.Lock()
	defer qua.mu.Unlock()
	return len(qua.countedCrashes(fpr)) >= CrashesToCondemn
}

// Merge adds an observation of this or another entry, and proposes a condemnation when it reaches CrashesToCondemn; duplicates count once.
func (qua *Quarantiner) Merge(obs CrashObservation) {
	qua.mu.Lock()
	before := len(qua.countedCrashes(obs.Fingerprint))
	qua.add(obs)
	crashes := qua.countedCrashes(obs.Fingerprint)
	qua.mu.Unlock()
	if before >= CrashesToCondemn || len(crashes) < CrashesToCondemn || qua.con.Condemned(obs.Fingerprint) {
		return
	}
	qua.pro.Propose(recorder.Condemn{Fingerprint: obs.Fingerprint, Workspace: obs.Workspace, Crashed: crashes})
}

// Observations returns the observations that have not expired, for other entries to merge.
func (qua *Quarantiner) Observations() []CrashObservation {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.dropExpired()
	out := make([]CrashObservation, 0, qua.count)
	for _, byCrash := range qua.observations {
		for _, obs := range byCrash {
			out = append(out, obs)
		}
	}
	return out
}

// countedCrashes returns the sorted IDs of the crashes that count against a request.
func (qua *Quarantiner) countedCrashes(fpr string) []string {
	var out []string
	for id, obs := range qua.observations[fpr] {
		if !obs.Cleared && !qua.expired(obs) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (qua *Quarantiner) expired(obs CrashObservation) bool {
	return qua.clk.Since(obs.At) > qua.set.MaxAge
}

func (qua *Quarantiner) add(obs CrashObservation) {
	if now := qua.clk.Now(); obs.At.After(now) {
		obs.At = now
	}
	if qua.expired(obs) {
		return
	}
	known, exists := qua.observations[obs.Fingerprint][obs.CrashID]
	if exists {
		known.Cleared = known.Cleared || obs.Cleared
		qua.observations[obs.Fingerprint][obs.CrashID] = known
		return
	}
	qua.evictOldest()
	if qua.observations[obs.Fingerprint] == nil {
		qua.observations[obs.Fingerprint] = map[string]CrashObservation{}
	}
	qua.observations[obs.Fingerprint][obs.CrashID] = obs
	qua.count++
}

// evictOldest makes room for an observation at the limit: it drops the expired ones, and if that frees nothing the oldest 1 + MaxObservations/8.
func (qua *Quarantiner) evictOldest() {
	if qua.count < qua.set.MaxObservations {
		return
	}
	qua.dropExpired()
	if qua.count < qua.set.MaxObservations {
		return
	}
	var all []CrashObservation
	for _, byCrash := range qua.observations {
		for _, obs := range byCrash {
			all = append(all, obs)
		}
	}
	slices.SortFunc(all, func(one, two CrashObservation) int {
		if cmp := one.At.Compare(two.At); cmp != 0 {
			return cmp
		}
		return strings.Compare(one.Fingerprint+one.CrashID, two.Fingerprint+two.CrashID)
	})
	for _, obs := range all[:1+qua.set.MaxObservations/8] {
		qua.drop(obs)
	}
}

func (qua *Quarantiner) dropExpired() {
	for _, byCrash := range qua.observations {
		for _, obs := range byCrash {
			if qua.expired(obs) {
				qua.drop(obs)
			}
		}
	}
}

func (qua *Quarantiner) drop(obs CrashObservation) {
	delete(qua.observations[obs.Fingerprint], obs.CrashID)
	if len(qua.observations[obs.Fingerprint]) == 0 {
		delete(qua.observations, obs.Fingerprint)
	}
	qua.count--
}
