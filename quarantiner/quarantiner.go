package quarantiner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/recorder"
)

// CrashesToCondemn is the number of distinct crashes after which a request is condemned.
const CrashesToCondemn = 2

// Default values of Settings.
const (
	DefaultMaxObservations = 8192
	DefaultMaxAge          = 30 * time.Minute
)

// maxSoundParts and maxSoundRequests are the numbers of parts and of requests of which a Quarantiner knows when they last proved sound.
const (
	maxSoundParts    = 16384
	maxSoundRequests = 4096
)

// Settings limits the number and the age of the observations that a Quarantiner keeps; zero fields take their defaults.
type Settings struct {
	MaxObservations int
	MaxAge          time.Duration
	// RequestCrashes is the number of crashes after which a request is quarantined, CrashesToCondemn by default.
	RequestCrashes int
	// Tries reports whether this entry may run a request to find out whether a quarantine still holds; at most one entry may, by default none.
	Tries func() bool
	// Logger logs quarantines; nil logs none.
	Logger logrus.FieldLogger
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
	// soundParts and soundRequests hold when parts and requests last proved sound.
	soundParts    *history
	soundRequests *history
	// ownParts and ownRequests hold the same of the requests of this entry.
	ownParts    *history
	ownRequests *history
	// verdicts holds the verdicts of the last evaluation by their first subject, and explained the crashes that they explain; stale means that there is evidence since.
	verdicts    map[string][]Verdict
	explained   map[string]bool
	evaluatedAt time.Time
	stale       bool
	// tried holds when this entry last ran a quarantined request, by the key of the verdict.
	tried map[string]time.Time
}

// New returns a Quarantiner without observations; without a replicated log, the set and the proposer are nil.
func New(set Settings, clk clockwork.Clock, con CondemnedSet, pro Proposer) *Quarantiner {
	if set.MaxObservations <= 0 {
		set.MaxObservations = DefaultMaxObservations
	}
	if set.MaxAge <= 0 {
		set.MaxAge = DefaultMaxAge
	}
	if set.RequestCrashes <= 0 {
		set.RequestCrashes = CrashesToCondemn
	}
	return &Quarantiner{
		set: set, clk: clk, con: con, pro: pro, observations: map[string]map[string]CrashObservation{},
		soundParts: newHistory(maxSoundParts), soundRequests: newHistory(maxSoundRequests), ownParts: newHistory(maxSoundParts), ownRequests: newHistory(maxSoundRequests), tried: map[string]time.Time{},
	}
}

// RecordCrash records that a request of a workspace was running on a unit when the unit crashed.
func (qua *Quarantiner) RecordCrash(fpr, workspace, unit, crashID string) {
	qua.Merge(CrashObservation{Fingerprint: fpr, Workspace: workspace, Unit: unit, CrashID: crashID, At: qua.clk.Now()})
}

// RecordSuspects records the subjects of requests that were running on a unit when the unit crashed.
func (qua *Quarantiner) RecordSuspects(subs []string, crashID string, at time.Time) {
	for _, sub := range subs {
		qua.Merge(CrashObservation{Fingerprint: sub, CrashID: crashID, At: at})
	}
}

func (qua *Quarantiner) soundHistory(sub string) *history {
	if IsPart(sub) {
		return qua.soundParts
	}
	return qua.soundRequests
}

// ownHistory is the soundHistory of the requests of this entry.
func (qua *Quarantiner) ownHistory(sub string) *history {
	if IsPart(sub) {
		return qua.ownParts
	}
	return qua.ownRequests
}

func (qua *Quarantiner) lastSound(sub string) time.Time {
	return qua.soundHistory(sub).last(sub)
}

// RecordCompletion records that a request completed, which clears it of all crashes known so far.
func (qua *Quarantiner) RecordCompletion(fpr string) {
	qua.RecordSound([]string{fpr}, qua.clk.Now())
}

// RecordSound records that a request proved its subjects sound, which clears them of the crashes up to a time.
func (qua *Quarantiner) RecordSound(subs []string, at time.Time) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	for _, sub := range subs {
		qua.ownHistory(sub).record(sub, at)
		qua.clear(sub, at)
	}
}

// clear clears a subject of the crashes up to a time at which it proved sound.
func (qua *Quarantiner) clear(sub string, at time.Time) {
	byCrash := qua.observations[sub]
	if !qua.soundHistory(sub).record(sub, at) || byCrash == nil {
		return
	}
	qua.stale = true
	for id, obs := range byCrash {
		obs.Cleared = obs.Cleared || !obs.At.After(at)
		byCrash[id] = obs
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
	if qua.inLog(fpr) {
		return true
	}
	qua.mu.Lock()
	defer qua.mu.Unlock()
	return len(qua.countedCrashes(fpr)) >= CrashesToCondemn
}

// Merge adds an observation of this or another entry, and proposes a condemnation when it reaches CrashesToCondemn; duplicates count once.
func (qua *Quarantiner) Merge(obs CrashObservation) {
	qua.mu.Lock()
	if qua.pro == nil || IsPart(obs.Fingerprint) {
		qua.add(obs)
		qua.mu.Unlock()
		return
	}
	before := len(qua.countedCrashes(obs.Fingerprint))
	qua.add(obs)
	crashes := qua.countedCrashes(obs.Fingerprint)
	qua.mu.Unlock()
	if before >= CrashesToCondemn || len(crashes) < CrashesToCondemn || qua.inLog(obs.Fingerprint) {
		return
	}
	qua.pro.Propose(recorder.Condemn{Fingerprint: obs.Fingerprint, Workspace: obs.Workspace, Crashed: crashes})
}

// inLog reports whether the replicated log condemns a request.
func (qua *Quarantiner) inLog(fpr string) bool {
	return qua.con != nil && qua.con.Condemned(fpr)
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
	if obs.Cleared {
		qua.soundHistory(obs.Fingerprint).record(obs.Fingerprint, obs.At)
	}
	obs.Cleared = obs.Cleared || !obs.At.After(qua.lastSound(obs.Fingerprint))
	known, exists := qua.observations[obs.Fingerprint][obs.CrashID]
	qua.stale = qua.stale || !exists || obs.Cleared && !known.Cleared
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
