package gateserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

const (
	simStep = 20 * time.Millisecond
	// drainLimit and pauseSlack are the platform's bounds.
	drainLimit = 2 * time.Second
	pauseSlack = 500 * time.Millisecond
)

// simHost is the place of a backend server, and the instance that runs there now.
type simHost struct {
	ser registrar.Server
	// leaves is when the instance began to say that it leaves, ends when it is replaced; busyUntil is until when it rejects requests.
	leaves    time.Time
	ends      time.Time
	busyUntil time.Time
}

// simEntry is one run of an entry; late is how much later than written it reads records.
type simEntry struct {
	name string
	gat  *gateserver.Server
	late time.Duration
	// told is when a response that says that an instance leaves was passed on, pauses what it has asked for.
	told   map[registrar.Instance]time.Time
	pauses map[registrar.Instance][]*simPause
}

type simPause struct {
	at, until time.Time
	got       int
}

type simEvent struct {
	at  time.Time
	run func()
}

// noticeSim is a simulation of entries before backend servers that leave, come back and ask for pauses.
type noticeSim struct {
	rng     *rand.Rand
	clk     *clockwork.FakeClock
	hosts   []*simHost
	entries []*simEntry
	events  []simEvent
	// wrong lists the requests that broke a promise, served counts those that ran, leavings and pauses the notices.
	wrong    []string
	served   int
	leavings int
	pauses   int
}

func newNoticeSim(seed uint64, entries, servers int) *noticeSim {
	sim := &noticeSim{rng: rand.New(rand.NewPCG(seed, 29)), clk: clockwork.NewFakeClock()}
	for num := range servers {
		sim.hosts = append(sim.hosts, &simHost{ser: registrar.Server{
			ID: fmt.Sprint("w", num), Service: "plain", Address: fmt.Sprint("127.0.0.1:", 1000+num), Zone: fmt.Sprint("z", num%3), Slots: 1 << 16, Started: 1,
		}})
	}
	// Every second pair of servers is a replica group.
	for num := 0; num+1 < servers; num += 4 {
		for rank := range 2 {
			sim.join(num+rank, num, rank, 1)
		}
	}
	for num := range entries {
		ent := &simEntry{name: fmt.Sprint("e", num)}
		sim.entries = append(sim.entries, ent)
		sim.start(ent)
	}
	return sim
}

func (sim *noticeSim) join(host, group, rank int, epoch int64) {
	ser := &sim.hosts[host].ser
	ser.Service, ser.Domain, ser.Loaded = "engine", "d", "m"
	ser.Group = registrar.Membership{Name: fmt.Sprintf("g%d-%d", group, epoch), Epoch: epoch, Rank: rank, State: registrar.Ready}
	if rank == 0 {
		ser.Group.State = registrar.Open
	}
}

func (sim *noticeSim) after(dur time.Duration, run func()) {
	sim.events = append(sim.events, simEvent{at: sim.clk.Now().Add(dur), run: run})
}

func (sim *noticeSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)))
}

// engines answers the health checks of one entry.
type engines struct {
	stubs
	sim *noticeSim
	ent *simEntry
}

func (eng engines) Report(_ context.Context, ser registrar.Server) (conductor.Report, error) {
	eng.sim.arrive(eng.ent, ser.Instance(), false)
	return conductor.Report{}, nil
}

// start starts an entry anew; it reads the whole list.
func (sim *noticeSim) start(ent *simEntry) {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	pla := platform(&store{})
	pla.Engines = engines{sim: sim, ent: ent}
	pla.DecodeOperatorRecord = func(tailer.Record) (gateserver.OperatorRecord, error) {
		eng := &router.Engine{Slots: 1 << 16, Models: []router.Model{{Name: "m", Size: 2, TimeFactor: 1}}}
		return gateserver.OperatorRecord{Config: &router.Config{Version: 1, Services: map[string]router.Service{"plain": {Name: "plain"}, "engine": {Name: "engine", Engine: eng}}}}, nil
	}
	pla.DecodeServer = func(rec tailer.Record, _ time.Time) (registrar.Server, error) {
		var ser registrar.Server
		return ser, json.Unmarshal(rec.Value, &ser)
	}
	set := settings(ent.name)
	set.Listen.Entries = "127.0.0.1:0"
	gat, err := gateserver.New(set, pla, sim.clk, log.WithField("entry", ent.name))
	Expect(err).NotTo(HaveOccurred())
	ent.gat, ent.told, ent.pauses = gat, map[registrar.Instance]time.Time{}, map[registrar.Instance][]*simPause{}
	ent.late = sim.between(0, 200*time.Millisecond)
	if sim.rng.IntN(3) == 0 {
		ent.late = sim.between(3*time.Second, 5*time.Second)
	}
	var list []tailer.Record
	for _, hos := range sim.hosts {
		list = append(list, record(hos.ser))
	}
	gat.ApplyRecords([]tailer.Record{{Key: "config"}}, list)
}

func record(ser registrar.Server) tailer.Record {
	data, err := json.Marshal(ser)
	Expect(err).NotTo(HaveOccurred())
	return tailer.Record{Key: ser.ID, Value: data}
}

// write writes the record of a server, or its removal, which the entries read later.
func (sim *noticeSim) write(rec tailer.Record) {
	for _, ent := range sim.entries {
		gat := ent.gat
		sim.after(ent.late, func() {
			if ent.gat == gat {
				gat.ApplyRecords(nil, []tailer.Record{rec})
			}
		})
	}
}

// play lets things happen for a while.
func (sim *noticeSim) play(last time.Duration, disturb bool) {
	for range last / simStep {
		sim.clk.Advance(simStep)
		now := sim.clk.Now()
		due := slices.DeleteFunc(slices.Clone(sim.events), func(eve simEvent) bool { return eve.at.After(now) })
		sim.events = slices.DeleteFunc(sim.events, func(eve simEvent) bool { return !eve.at.After(now) })
		for _, eve := range due {
			eve.run()
		}
		for num, hos := range sim.hosts {
			sim.change(num, hos, disturb)
		}
		if disturb && sim.rng.IntN(100) == 0 {
			sim.start(sim.entries[sim.rng.IntN(len(sim.entries))])
		}
		for range 12 {
			ent := sim.entries[sim.rng.IntN(len(sim.entries))]
			ent.gat.Expire()
			sim.request(ent, []string{"plain", "engine/m"}[sim.rng.IntN(2)])
			hos := sim.hosts[sim.rng.IntN(len(sim.hosts))]
			_ = ent.gat.Probe(context.Background(), hos.ser)
		}
	}
}

// change has a server leave, end, come back or become busy.
func (sim *noticeSim) change(num int, hos *simHost, disturb bool) {
	now := sim.clk.Now()
	switch {
	case !hos.ends.IsZero() && !now.Before(hos.ends):
		sim.replace(num, hos)
	case !disturb || !hos.ends.IsZero():
	case sim.rng.IntN(400) == 0:
		hos.leaves, hos.ends = now, now.Add(sim.between(3*time.Second, 6*time.Second))
		// The record that says ready may be written once more, the one that says draining late or never.
		sim.rewrite(hos, sim.between(0, 4*time.Second), false)
		if sim.rng.IntN(2) == 0 {
			sim.rewrite(hos, sim.between(0, 8*time.Second), true)
		}
	case sim.rng.IntN(150) == 0:
		hos.busyUntil = now.Add(sim.between(100*time.Millisecond, 4*time.Second))
	}
}

// rewrite writes the record of a server's instance later, if the instance still runs by then.
func (sim *noticeSim) rewrite(hos *simHost, in time.Duration, draining bool) {
	ins := hos.ser.Instance()
	sim.after(in, func() {
		if ser := hos.ser; ser.Instance() == ins {
			ser.Draining = draining
			sim.write(record(ser))
		}
	})
}

// replace starts another instance of a server, under its ID or under another one.
func (sim *noticeSim) replace(num int, hos *simHost) {
	if sim.rng.IntN(2) == 0 {
		sim.write(tailer.Record{Key: hos.ser.ID})
		hos.ser.ID += "n"
	}
	hos.ser.Started = sim.clk.Now().UnixMilli()
	hos.leaves, hos.ends, hos.busyUntil = time.Time{}, time.Time{}, time.Time{}
	if hos.ser.Group.Name == "" {
		sim.write(record(hos.ser))
		return
	}
	first := num - num%4
	epoch := max(sim.hosts[first].ser.Group.Epoch, sim.hosts[first+1].ser.Group.Epoch) + 1
	for rank := range 2 {
		sim.join(first+rank, first, rank, epoch)
		sim.write(record(sim.hosts[first+rank].ser))
	}
}

func (sim *noticeSim) request(ent *simEntry, pool string) {
	now := sim.clk.Now()
	pla, err := ent.gat.Dispatcher().Acquire(context.Background(), dispatcher.Request{ID: "r", Pool: pool, Cost: 1, StartBy: now, Deadline: now.Add(time.Minute)})
	if err != nil {
		return
	}
	out := dispatcher.Outcome{Result: dispatcher.Served, Duration: simStep}
	if !sim.arrive(ent, pla.Unit.Instance(), true) {
		out.Result = dispatcher.Rejected
	}
	pla.Release(out)
}

// arrive has a request or a health check reach an instance, checks it by the rules, and delivers the response; it reports whether the request runs.
func (sim *noticeSim) arrive(ent *simEntry, ins registrar.Instance, counts bool) bool {
	now := sim.clk.Now()
	pos := slices.IndexFunc(sim.hosts, func(hos *simHost) bool { return hos.ser.Instance() == ins })
	if pos < 0 {
		return false
	}
	hos := sim.hosts[pos]
	if at, told := ent.told[ins]; counts && told && now.Sub(at) > drainLimit {
		sim.wrong = append(sim.wrong, fmt.Sprintf("%s sent to %v %v after it said that it leaves", ent.name, ins, now.Sub(at)))
	}
	for _, pau := range ent.pauses[ins] {
		if now.Sub(pau.at) > pauseSlack && now.Before(pau.until) {
			if pau.got++; pau.got == 3 {
				sim.wrong = append(sim.wrong, fmt.Sprintf("%s sent three times to %v in a pause of %v", ent.name, ins, pau.until.Sub(pau.at)))
			}
		}
	}
	busy := now.Before(hos.busyUntil)
	pause := time.Duration(0)
	if busy && sim.rng.IntN(4) > 0 {
		pause = hos.busyUntil.Sub(now)
		ent.pauses[ins] = append(ent.pauses[ins], &simPause{at: now, until: now.Add(pause)})
		sim.pauses++
	}
	sim.deliver(ent, ins, !hos.leaves.IsZero(), pause)
	if !busy {
		sim.served++
	}
	return !busy
}

// deliver passes a response on a little later.
func (sim *noticeSim) deliver(ent *simEntry, ins registrar.Instance, leaving bool, pause time.Duration) {
	gat := ent.gat
	sim.after(sim.between(0, 300*time.Millisecond), func() {
		if ent.gat != gat {
			return
		}
		gat.Notice(ins, leaving, pause)
		if _, told := ent.told[ins]; leaving && !told {
			ent.told[ins] = sim.clk.Now()
			sim.leavings++
		}
	})
}

// noticeSeeds returns how many seeds the randomised spec plays, num by default.
func noticeSeeds(num uint64) uint64 {
	if num, err := strconv.ParseUint(os.Getenv("LOVAGELEVER_SEEDS"), 10, 64); err == nil {
		return num
	}
	return num
}

// Guards against DRAIN and BUDGET: entries in touch with the store or not send to servers that have said that they leave or want a pause.
var _ = Describe("Servers of many entries", func() {
	cases := []struct {
		entries, servers int
		seeds            uint64
	}{{7, 12, 4}, {67, 24, 2}, {195, 24, 1}}
	for _, cas := range cases {
		It(fmt.Sprintf("send nothing to servers that leave or want a pause, and use all others: %d entries", cas.entries), func() {
			for seed := range noticeSeeds(cas.seeds) {
				sim := newNoticeSim(seed, cas.entries, cas.servers)
				sim.play(15*time.Second, true)
				Expect(sim.wrong).To(BeEmpty(), "seed %d", seed)
				Expect(sim.leavings).To(BeNumerically(">", cas.servers))
				Expect(sim.pauses).To(BeNumerically(">", cas.servers))
				Expect(sim.served).To(BeNumerically(">", 3000))
				sim.play(12*time.Second, false)
				Expect(sim.wrong).To(BeEmpty(), "seed %d", seed)
				for _, ent := range sim.entries {
					ent.gat.Expire()
					for _, uni := range ent.gat.Units() {
						Expect(uni.Readiness).To(Equal(dispatcher.Serving), "%s, %s, seed %d", ent.name, uni.ID, seed)
						Expect(ent.gat.Dispatcher().Paused(uni.Instance())).To(BeFalse(), "%s, %s, seed %d", ent.name, uni.ID, seed)
					}
				}
			}
		})
	}
})
