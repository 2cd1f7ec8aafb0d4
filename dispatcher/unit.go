package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/registrar"
)

// Readiness says which requests a unit can run.
type Readiness int

// A Serving unit accepts requests, a Stopping unit only finishes its running ones, a Suspected unit may not finish them, and a Broken unit never does.
const (
	Serving Readiness = iota
	Stopping
	Suspected
	Broken
)

// String returns the name of the readiness in log lines.
func (rea Readiness) String() string {
	return [...]string{"serving", "stopping", "suspected", "broken"}[rea]
}

// Unit is one backend server, or the head of one replica group, that runs requests.
type Unit struct {
	// ID identifies this run of the server and its group; a restart gets a new ID.
	ID string
	// Pool is the key shared by all units that can serve the same requests.
	Pool     string
	ServerID string
	// Started is the start time of the server in Unix milliseconds.
	Started int64
	Address string
	// Entry is the name of the entry that the unit stands for, empty for a backend server.
	Entry string
	Zone  string
	// Crossing is how long a message to the unit's zone and the answer take, zero if unknown.
	Crossing  time.Duration
	Slots     int
	Readiness Readiness
	// ColdUntil is the time from which the unit is warm, and ColdPerSecond the requests per second that it can take from all entries before.
	ColdUntil     time.Time
	ColdPerSecond float64
	// TypicalEventInterval is the typical interval between two events of a stream; zero for plain calls.
	TypicalEventInterval time.Duration
	// Estimator predicts the times of the unit; nil where the engine's figures are unknown.
	Estimator *estimator.Estimator
}

// Instance returns the identity of the unit's server.
func (uni Unit) Instance() registrar.Instance {
	return registrar.Instance{ID: uni.ServerID, Started: uni.Started}
}

const (
	// zonePenalty is how much lower the load of a unit in another availability zone must be, as a share of its slots, to justify traffic between zones.
	zonePenalty = 0.3
	// faultPenalty weights the share of a unit's requests that failed relative to the share of its slots in use.
	faultPenalty = 2.0
	// smoothingFactor is the weight of one request in the moving averages of a unit, which cover about the last ten requests.
	smoothingFactor = 0.1
	// maxSlowness caps the slowness that one request can report, so that a single long interval does not exclude the unit.
	maxSlowness = 8.0
	// fullDuration is how long a unit counts as full after it rejected a request; a slot becomes free within about one step of the engines.
	fullDuration = 60 * time.Millisecond
)

// unitState is a unit with its load and health as this entry knows them.
type unitState struct {
	Unit
	// own is the work of this entry on the unit, remote that of the other entries that counts, and reported the sum of what each of them reports.
	own       estimator.Work
	remote    estimator.Work
	reported  estimator.Work
	faultRate float64
	slowness  float64
	// correction multiplies the predicted times, and grown is the memory that was committed recently.
	correction    correction
	grown         growth
	fullUntil     time.Time
	nextColdStart time.Time
	// paced is set while the unit serves and is cold.
	paced     bool
	suspected chan struct{}
	broken    chan struct{}
	listed    bool
}

func newUnitState(uni Unit) *unitState {
	return &unitState{Unit: uni, slowness: 1, suspected: make(chan struct{}), broken: make(chan struct{})}
}

// setReadiness closes the channel of a readiness that the unit enters, for the requests that run on it.
func (sta *unitState) setReadiness(rea Readiness) {
	if rea == sta.Readiness {
		return
	}
	sta.Readiness = rea
	switch rea {
	case Suspected:
		close(sta.suspected)
		sta.suspected = make(chan struct{})
	case Broken:
		close(sta.broken)
		sta.broken = make(chan struct{})
	}
}

// coldInterval returns the minimum time between two requests of this entry to a cold unit, assuming that all entries send at the same rate.
func (sta *unitState) coldInterval(entries int) time.Duration {
	return time.Duration(float64(max(1, entries)) / sta.ColdPerSecond * float64(time.Second))
}

// updatePacing schedules this entry's first request to a unit that begins to serve while cold, or becomes cold while serving. The entries take turns, each unit in another order.
func (sta *unitState) updatePacing(now time.Time, entries, rank int, random float64) {
	if entries == 0 {
		sta.paced, sta.nextColdStart = false, sta.ColdUntil
		return
	}
	before := sta.paced
	sta.paced = sta.Readiness == Serving && sta.cold(now)
	if !sta.paced || before {
		return
	}
	turn := (uint64(rank) + xxhash.Sum64String(sta.ID)) % uint64(max(1, entries))
	sta.nextColdStart = now.Add(time.Duration((float64(turn) + random) / sta.ColdPerSecond * float64(time.Second)))
}

func (sta *unitState) cold(now time.Time) bool {
	return sta.ColdPerSecond > 0 && now.Before(sta.ColdUntil)
}

// hasCapacity reports whether the unit can take one more request now.
func (sta *unitState) hasCapacity(now time.Time) bool {
	if sta.Readiness != Serving || sta.own.Requests+sta.remote.Requests >= sta.Slots || now.Before(sta.fullUntil) {
		return false
	}
	return !sta.cold(now) || !now.Before(sta.nextColdStart)
}

// score ranks the unit for requests from a zone by its load, slowness, fault rate and zone; the lowest score wins.
func (sta *unitState) score(zone string) float64 {
	score := float64(sta.own.Requests+sta.remote.Requests) / float64(max(1, sta.Slots))
	score = score*sta.slowness + (sta.slowness-1)/maxSlowness + faultPenalty*sta.faultRate
	if zone != sta.Zone {
		score += zonePenalty
	}
	return score
}

func (sta *unitState) recordOutcome(out Outcome) {
	switch out.Result {
	case Fault:
		sta.faultRate += smoothingFactor * (1 - sta.faultRate)
	case Served:
		sta.faultRate -= smoothingFactor * sta.faultRate
	}
	if out.EventInterval > 0 && sta.TypicalEventInterval > 0 {
		factor := min(maxSlowness, max(1, float64(out.EventInterval)/float64(sta.TypicalEventInterval)))
		sta.slowness += smoothingFactor * (factor - sta.slowness)
	}
}
