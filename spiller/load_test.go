package spiller_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/spiller"
)

const (
	zones     = 3
	step      = 5 * time.Millisecond
	loadAge   = 200 * time.Millisecond
	objective = 400 * time.Millisecond
	crossing  = time.Millisecond
	// baseTime is the time to a first event without a backlog, writeTime how long a request writes after it.
	baseTime  = 100 * time.Millisecond
	writeTime = time.Second
	// readPerSecond and meanPrompt are the prompt tokens that a group reads beside its writers, and those of a request.
	readPerSecond = 26_000.0
	meanPrompt    = 1420.0
	slots         = 48
)

// group is a replica group that reads prompts in order of arrival; readUntil is when it has read all that it has.
type group struct {
	zone      int
	readUntil time.Time
	ends      []time.Time
	out       bool
	// seen is the state that the entries know, next the one that they will know.
	seen, next struct {
		backlog time.Duration
		running int
	}
}

// load plays requests of callers at entries that know the groups' state late.
type load struct {
	clk    *clockwork.FakeClock
	rng    *rand.Rand
	groups []*group
	// entries holds the spillers by zone.
	entries [zones][]*spiller.Spiller
	old     bool
	// sent, inTime and crossed count requests by the zone of their callers, and into those that reached a zone from another one.
	sent, inTime, crossed, into [zones]int
}

func newLoad(entries, groupsPerZone int, old bool) *load {
	out := &load{clk: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(31, 7)), old: old}
	for num := range zones * groupsPerZone {
		out.groups = append(out.groups, &group{zone: num % zones, readUntil: out.clk.Now()})
	}
	for num := range entries {
		out.entries[num%zones] = append(out.entries[num%zones], spiller.New(out.clk))
	}
	return out
}

// play has callers of each zone use a share of what one zone's groups can read, as a function of time.
func (loa *load) play(last time.Duration, use func(zone int, at time.Duration) float64) {
	perZone := float64(len(loa.groups)/zones) * readPerSecond / meanPrompt
	var due [zones]float64
	for at := time.Duration(0); at < last; at += step {
		loa.clk.Advance(step)
		if at%(loadAge/2) == 0 {
			loa.exchange()
		}
		for zone := range zones {
			due[zone] += use(zone, at) * perZone * step.Seconds() * loa.rng.ExpFloat64()
			for ; due[zone] >= 1; due[zone]-- {
				loa.request(zone)
			}
		}
	}
}

func (loa *load) exchange() {
	now := loa.clk.Now()
	for _, grp := range loa.groups {
		grp.seen = grp.next
		grp.ends = slices.DeleteFunc(grp.ends, now.After)
		grp.next.backlog, grp.next.running = max(0, grp.readUntil.Sub(now)), len(grp.ends)
	}
}

func (loa *load) request(zone int) {
	size := min(4030, meanPrompt*loa.rng.ExpFloat64())
	reading := time.Duration(size / readPerSecond * float64(time.Second))
	to := loa.oldZone(zone)
	if !loa.old {
		to = loa.newZone(zone, reading)
	}
	grp := loa.pick(to)
	now := loa.clk.Now()
	grp.readUntil = later(grp.readUntil, now).Add(reading)
	first := grp.readUntil.Sub(now) + baseTime
	loa.sent[zone]++
	if to != zone {
		loa.crossed[zone]++
		loa.into[to]++
		first += crossing
	}
	grp.ends = append(grp.ends, now.Add(first+writeTime))
	if first <= objective {
		loa.inTime[zone]++
	}
}

// newZone asks one entry of the zone.
func (loa *load) newZone(zone int, reading time.Duration) int {
	var first [zones]time.Duration
	que := spiller.Question{Left: objective, LoadAge: loadAge}
	for other := range zones {
		var list []time.Duration
		for _, grp := range loa.serving(other) {
			list = append(list, grp.seen.backlog+reading+baseTime)
		}
		if len(list) == 0 {
			continue
		}
		slices.Sort(list)
		first[other] = list[(len(list)-1)/2]
		if other != zone {
			que.Away = append(que.Away, spiller.Zone{Name: fmt.Sprint(other), First: first[other], Crossing: crossing, Units: len(list)})
		}
	}
	que.Home = first[zone]
	if que.Home == 0 {
		return loa.anyZone(zone)
	}
	entries := loa.entries[zone]
	to := entries[loa.rng.IntN(len(entries))].Choose(que, loa.rng.Float64())
	for other := range zones {
		if to == fmt.Sprint(other) {
			return other
		}
	}
	return zone
}

// anyZone is where requests go whose zone has no group.
func (loa *load) anyZone(zone int) int {
	return (zone + 1 + loa.rng.IntN(zones-1)) % zones
}

// oldZone leaves the zone when its groups use 0.3 more of their slots than others.
func (loa *load) oldZone(zone int) int {
	const zonePenalty = 0.3
	best, lowest := zone, math.Inf(1)
	for _, other := range loa.rng.Perm(zones) {
		for _, grp := range loa.serving(other) {
			score := float64(grp.seen.running) / slots
			if other != zone {
				score += zonePenalty
			}
			if score < lowest {
				best, lowest = other, score
			}
		}
	}
	return best
}

// pick returns the less loaded of two groups of a zone.
func (loa *load) pick(zone int) *group {
	list := loa.serving(zone)
	one, two := list[loa.rng.IntN(len(list))], list[loa.rng.IntN(len(list))]
	if two.seen.backlog < one.seen.backlog {
		return two
	}
	return one
}

func (loa *load) serving(zone int) []*group {
	var out []*group
	for _, grp := range loa.groups {
		if grp.zone == zone && !grp.out {
			out = append(out, grp)
		}
	}
	return out
}

// shares returns the shares of all requests that were in time and that left their zone.
func (loa *load) shares() (inTime, crossed float64) {
	sent := 0
	for zone := range zones {
		sent += loa.sent[zone]
		inTime += float64(loa.inTime[zone])
		crossed += float64(loa.crossed[zone])
	}
	return inTime / float64(sent), crossed / float64(sent)
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

func wave(mean, swing float64) func(int, time.Duration) float64 {
	return func(zone int, at time.Duration) float64 {
		return mean * (1 + swing*math.Sin(2*math.Pi*(at.Seconds()/15+float64(zone)/zones)))
	}
}

func evenly(use float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return use }
}

// Guards against a zone that is short while others have room, and against traffic between zones that brings callers nothing.
var _ = Describe("Spillers of many entries", func() {
	sizes := []struct{ entries, groupsPerZone int }{{7, 2}, {61, 6}, {195, 20}, {390, 40}}
	takeOut := func(loa *load, every int) {
		for num, grp := range loa.serving(0) {
			grp.out = num%every == 0
		}
	}
	cases := []struct {
		name  string
		use   func(int, time.Duration) float64
		begin func(*load)
	}{
		{"half of the reading capacity used", evenly(0.5), func(*load) {}},
		{"waves of 70 in 100 that swing by half, out of step between zones", wave(0.7, 0.55), func(*load) {}},
		{"60 in 100 and a zone that has lost half of its groups", evenly(0.6), func(loa *load) { takeOut(loa, 2) }},
		{"60 in 100 and a zone taken out", evenly(0.6), func(loa *load) { takeOut(loa, 1) }},
	}
	for _, cas := range cases {
		for _, siz := range sizes {
			It(fmt.Sprintf("keep four in five first events in time, with %d entries that know loads 200 ms late: %s", siz.entries, cas.name), func() {
				var inTime, crossed [2]float64
				for num, old := range []bool{true, false} {
					loa := newLoad(siz.entries, siz.groupsPerZone, old)
					cas.begin(loa)
					loa.play(20*time.Second, cas.use)
					inTime[num], crossed[num] = loa.shares()
				}
				// The callers of one play differ from those of the other by chance.
				const chance = 0.02
				gain, more := inTime[1]-inTime[0], crossed[1]-crossed[0]
				Expect(inTime[1]).To(BeNumerically(">=", 0.8))
				Expect(gain).To(BeNumerically(">=", -chance))
				// A request that crosses must bring a tenth of one in time at least.
				Expect(more).To(BeNumerically("<=", 10*max(0, gain)+chance))
			})
		}
	}

	for _, siz := range sizes {
		It(fmt.Sprintf("send next to nothing between zones that are all full, with %d entries", siz.entries), func() {
			loa := newLoad(siz.entries, siz.groupsPerZone, false)
			loa.play(20*time.Second, evenly(1.1))
			_, crossed := loa.shares()
			Expect(crossed).To(BeNumerically("<=", 0.05))
		})

		It(fmt.Sprintf("send nothing to a zone taken out, and come back when it returns, with %d entries", siz.entries), func() {
			loa := newLoad(siz.entries, siz.groupsPerZone, false)
			takeOut(loa, 1)
			loa.play(5*time.Second, evenly(0.6))
			Expect(loa.into[0]).To(BeZero())
			for _, grp := range loa.groups {
				grp.out = false
			}
			loa.play(5*time.Second, evenly(0.6))
			loa.sent, loa.inTime, loa.crossed = [zones]int{}, [zones]int{}, [zones]int{}
			loa.play(10*time.Second, evenly(0.6))
			inTime, crossed := loa.shares()
			Expect(inTime).To(BeNumerically(">=", 0.8))
			Expect(crossed).To(BeNumerically("<=", 0.05))
		})

		It(fmt.Sprintf("send a steady share while a zone has lost half of its groups, with %d entries", siz.entries), func() {
			loa := newLoad(siz.entries, siz.groupsPerZone, false)
			takeOut(loa, 2)
			loa.play(5*time.Second, evenly(0.6))
			for range 5 {
				loa.sent, loa.crossed = [zones]int{}, [zones]int{}
				loa.play(3*time.Second, evenly(0.6))
				share := float64(loa.crossed[0]) / float64(loa.sent[0])
				// A sixth has to leave; more than half would empty the zone.
				Expect(share).To(And(BeNumerically(">", 0.05), BeNumerically("<", 0.5)))
			}
		})
	}
})
