package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
)

// fleet is a simulation of entries that know of each other's requests by heartbeats only.
type fleet struct {
	clk     *clockwork.FakeClock
	rng     *rand.Rand
	entries []*dispatcher.Dispatcher
	// running counts the requests that each unit really runs.
	running map[string]int
	slots   int
	ends    []runEnd
	// sent counts the requests sent, full those of them that reached a unit without a free slot, and sameZone those that stayed in their zone.
	sent     int
	full     int
	sameZone int
	refused  int
}

type runEnd struct {
	at  time.Time
	pla *dispatcher.Placement
}

const (
	fleetZones = 3
	fleetStep  = 5 * time.Millisecond
)

func newFleet(seed uint64, entries, units, slots int, heartbeat time.Duration) *fleet {
	fle := &fleet{clk: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 2)), running: map[string]int{}, slots: slots}
	var list []dispatcher.Unit
	for num := range units {
		list = append(list, unit(fmt.Sprint("u", num), fmt.Sprint("z", num%fleetZones), slots))
	}
	for num := range entries {
		dis := dispatcher.New(dispatcher.Options{
			Zone: fmt.Sprint("z", num%fleetZones), Clock: fle.clk, Breaker: breaker.New(breaker.Options{Clock: fle.clk}), Random: fle.rng.Float64,
		})
		dis.SetEntries(entries, num)
		dis.SetUnits(list)
		dis.SetLoadAge(heartbeat)
		fle.entries = append(fle.entries, dis)
	}
	return fle
}

// play has callers send requests at a rate to random entries, which each send a heartbeat once in an interval.
func (fle *fleet) play(perSecond float64, work, heartbeat, last time.Duration) {
	due := 0.0
	for at := time.Duration(0); at < last; at += fleetStep {
		fle.clk.Advance(fleetStep)
		fle.endRuns()
		for num, dis := range fle.entries {
			phase := time.Duration(num) * heartbeat / time.Duration(len(fle.entries))
			if (at+phase)%heartbeat < fleetStep {
				fle.sendHeartbeat(num, dis)
			}
		}
		for due += perSecond * fleetStep.Seconds(); due >= 1; due-- {
			fle.request(fle.rng.IntN(len(fle.entries)), work)
		}
	}
}

func (fle *fleet) endRuns() {
	now := fle.clk.Now()
	fle.ends = slices.DeleteFunc(fle.ends, func(end runEnd) bool {
		if now.Before(end.at) {
			return false
		}
		fle.running[end.pla.Unit.ID]--
		end.pla.Release(dispatcher.Outcome{Result: dispatcher.Served, Duration: time.Second})
		return true
	})
}

func (fle *fleet) sendHeartbeat(from int, dis *dispatcher.Dispatcher) {
	running := dis.Running()
	for to, oth := range fle.entries {
		if to != from {
			oth.SetRemoteLoad(fmt.Sprint("e", from), running)
		}
	}
}

func (fle *fleet) request(entry int, work time.Duration) {
	now := fle.clk.Now()
	pla, err := fle.entries[entry].Acquire(context.Background(), dispatcher.Request{
		ID: fmt.Sprint(now.UnixNano(), fle.sent), Pool: pool, Cost: 1, StartBy: now, Deadline: now.Add(time.Minute),
	})
	if err != nil {
		fle.refused++
		return
	}
	fle.sent++
	if fle.running[pla.Unit.ID] >= fle.slots {
		fle.full++
		pla.Release(dispatcher.Outcome{Result: dispatcher.Rejected})
		return
	}
	if pla.Unit.Zone == fmt.Sprint("z", entry%fleetZones) {
		fle.sameZone++
	}
	fle.running[pla.Unit.ID]++
	fle.ends = append(fle.ends, runEnd{at: now.Add(time.Duration((0.5 + fle.rng.Float64()) * float64(work))), pla: pla})
}

var _ = Describe("Dispatchers of many entries", func() {
	cases := []struct {
		name      string
		entries   int
		units     int
		slots     int
		perSecond float64
		work      time.Duration
		heartbeat time.Duration
	}{
		{"7 entries with heartbeats every 100 ms", 7, 18, 17, 120, 1200 * time.Millisecond, 100 * time.Millisecond},
		{"67 entries with heartbeats every 0.44 s", 67, 36, 20, 414, time.Second, 440 * time.Millisecond},
		{"67 entries and few units", 67, 8, 20, 70, 1400 * time.Millisecond, 440 * time.Millisecond},
		{"390 entries with heartbeats every 2.6 s", 390, 200, 20, 2400, time.Second, 2600 * time.Millisecond},
	}
	for _, cas := range cases {
		It("send 95 in 100 requests to units that have a free slot: "+cas.name, func() {
			fle := newFleet(19, cas.entries, cas.units, cas.slots, cas.heartbeat)
			fle.play(cas.perSecond, cas.work, cas.heartbeat, cas.heartbeat+2*cas.work)
			fle.sent, fle.full, fle.sameZone, fle.refused = 0, 0, 0, 0
			fle.play(cas.perSecond, cas.work, cas.heartbeat, 3*time.Second)
			Expect(float64(fle.full + fle.refused)).To(BeNumerically("<=", 0.05*float64(fle.sent+fle.refused)))
			Expect(float64(fle.sameZone)).To(BeNumerically(">", 0.9*float64(fle.sent-fle.full)))
		})
	}
})
