package dispatcher

import (
	"math/rand/v2"
	"time"
)

// Readiness says what a unit may be used for.
type Readiness int

// A Serving unit takes requests, a Stopping one only ends those that run, and those of a Broken one never end.
const (
	Serving Readiness = iota
	Stopping
	Broken
)

// Unit is one backend server, or the head of one replica group, that runs requests.
type Unit struct {
	// ID names this life of the server and its group.
	ID string
	// Pool names what the units among which a request may choose have in common.
	Pool      string
	ServerID  string
	Address   string
	Zone      string
	Slots     int
	Readiness Readiness
	// ColdUntil is when the unit is warm, and ColdPerSecond what it bears until then, from all entries.
	ColdUntil     time.Time
	ColdPerSecond float64
	// UsualPause is the usual time between two events of a stream; zero for plain calls.
	UsualPause time.Duration
}

const (
	// zonePenalty is the share of a unit's slots that another availability zone must have more free to be worth its traffic between zones.
	zonePenalty = 0.3
	// faultPenalty weighs the share of failed requests of a unit against the share of its slots that are taken.
	faultPenalty = 2.0
	// learnRate is the weight of one request in the averages of a unit: about the last ten count.
	learnRate = 0.1
	// slowestFactor bounds how much slower than usual a unit counts, so that a single pause does not shut it out.
	slowestFactor = 8.0
	// fullFor is how long a unit that turned a request away for want of a place counts as full: a slot is free again within about one step of the engines.
	fullFor = 60 * time.Millisecond
)

// unitState is a unit with what this entry knows of its load.
type unitState struct {
	Unit
	running  int
	foreign  int
	faults   float64
	slowness float64
	fullTo   time.Time
	coldNext time.Time
	broken   chan struct{}
	listed   bool
}

func newUnitState(uni Unit, now time.Time, entries int) *unitState {
	sta := &unitState{Unit: uni, slowness: 1, broken: make(chan struct{})}
	if uni.ColdPerSecond > 0 {
		// Entries start their turns at a cold unit at random, so that their first requests do not come together.
		sta.coldNext = now.Add(time.Duration(rand.Float64() * float64(sta.coldEvery(entries))))
	}
	return sta
}

// coldEvery is how much time a cold unit needs between two requests of this entry, when all entries send as often.
func (sta *unitState) coldEvery(entries int) time.Duration {
	return time.Duration(float64(max(1, entries)) / sta.ColdPerSecond * float64(time.Second))
}

func (sta *unitState) cold(now time.Time) bool {
	return sta.ColdPerSecond > 0 && now.Before(sta.ColdUntil)
}

// open reports whether the unit has a place for one more request now.
func (sta *unitState) open(now time.Time) bool {
	if sta.Readiness != Serving || sta.running+sta.foreign >= sta.Slots || now.Before(sta.fullTo) {
		return false
	}
	return !sta.cold(now) || !now.Before(sta.coldNext)
}

// load is how little a unit suits a request from a zone; the lowest goes first.
func (sta *unitState) load(zone string) float64 {
	load := float64(sta.running+sta.foreign) / float64(max(1, sta.Slots))
	load = load*sta.slowness + (sta.slowness-1)/slowestFactor + faultPenalty*sta.faults
	if zone != sta.Zone {
		load += zonePenalty
	}
	return load
}

func (sta *unitState) learn(out Outcome) {
	switch out.Result {
	case Fault:
		sta.faults += learnRate * (1 - sta.faults)
	case Served:
		sta.faults -= learnRate * sta.faults
	}
	if out.Pause > 0 && sta.UsualPause > 0 {
		factor := min(slowestFactor, max(1, float64(out.Pause)/float64(sta.UsualPause)))
		sta.slowness += learnRate * (factor - sta.slowness)
	}
}
