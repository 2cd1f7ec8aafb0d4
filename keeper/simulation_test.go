package keeper_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/evictor"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/joiner"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

const (
	tick           = 250 * time.Millisecond
	freshnessLimit = 3 * time.Second
	maxPropagation = 5 * time.Second
	coldLimit      = 3
	warmLimit      = 8
	entries        = 7
)

var zones = []string{"east", "middle", "west"}

type simulatedError struct{ text string }

func (sie simulatedError) Error() string { return sie.text }

// simulation runs several entries with a simulated log, network and backend servers on a fake clock.
type simulation struct {
	rnd            *rand.Rand
	clk            *clockwork.FakeClock
	log            []recorder.Entry
	firstOffset    int64
	logDown        bool
	delayedRecords []recorder.Record
	nodes          []*node
	cutLinks       map[[2]string]bool
	cutFromLog     map[string]bool
	units          map[string]*backend
	reference      *reducer.State
	confirmedAt    map[int64]time.Time
	zonesOut       map[int64]string
	pendingCalls   []func()
	faults         int
	granted        int
	assumeFresh    bool
	trace          []string
}

// backend is the simulated backend server of a unit.
type backend struct {
	zone     string
	warm     bool
	started  string
	cooledAt time.Time
	running  []*simulatedRequest
	reports  []prober.Status
}

type simulatedRequest struct {
	unit      string
	home      *node
	ticket    string
	endsAt    time.Time
	startedAt time.Time
}

type node struct {
	sim          *simulation
	name         string
	zone         string
	paused       bool
	dead         bool
	lastRevision int64
	fol          *follower.Follower
	gos          *gossiper.Gossiper
	fre          *freshnesschecker.Checker
	joi          *joiner.Joiner
	evi          *evictor.Evictor
	adm          *admitter.Admitter
	kee          *keeper.Keeper
}

func newSimulation(seed uint64) *simulation {
	uuid.SetRand(rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)}))
	sim := &simulation{
		rnd:         rand.New(rand.NewPCG(seed, 7)),
		clk:         clockwork.NewFakeClockAt(time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC)),
		firstOffset: 1,
		cutLinks:    map[[2]string]bool{},
		cutFromLog:  map[string]bool{},
		units:       map[string]*backend{},
		reference:   reducer.NewState(),
		confirmedAt: map[int64]time.Time{},
		zonesOut:    map[int64]string{},
	}
	for num := range entries {
		sim.nodes = append(sim.nodes, sim.newNode(fmt.Sprintf("e%d", num), zones[num%len(zones)]))
	}
	return sim
}

func catalog() cataloger.Catalog {
	inv := cataloger.Inventory{
		Zones:    map[string]cataloger.Zone{},
		VMs:      map[string]cataloger.VM{},
		Services: map[string]cataloger.Service{"desk": {ColdLimit: coldLimit, WarmLimit: warmLimit}},
	}
	for num, zone := range zones {
		inv.Zones[zone] = cataloger.Zone{Region: "here"}
		for one := range 2 {
			name := fmt.Sprintf("%s-%d", zone, one)
			inv.VMs[name] = cataloger.VM{Zone: zone, WorkerKind: cataloger.WorkerService, Service: "desk", Address: fmt.Sprintf("127.0.%d.%d:9000", num+1, one+1)}
		}
	}
	return cataloger.Catalog{Inventory: inv}
}

func (sim *simulation) newNode(name, zone string) *node {
	nod := &node{sim: sim, name: name, zone: zone}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	nod.fol = follower.New(follower.Options{Log: nod, Peers: nod, Clock: sim.clk, Logger: quiet})
	nod.joi = joiner.New(joiner.Options{
		Member:   recorder.Member{Name: name, Zone: zone, Region: "here", Address: name, RPCAddress: name},
		State:    nod.fol,
		Appender: nod,
		Clock:    sim.clk,
		Logger:   quiet,
		OnRename: func(inc string) { nod.gos.SetIncarnation(inc) },
	})
	nod.gos = gossiper.New(gossiper.Options{
		State: nod.fol, Peers: peerClient{nod: nod}, Clock: sim.clk, Logger: quiet, Interval: time.Second,
		OnDivergence: func() { panic("the log states of two entries differ") },
	}, nod.joi.Member().Incarnation)
	nod.fre = freshnesschecker.New(nod.fol, nod.gos, sim.clk, freshnessLimit)
	nod.evi = evictor.New(evictor.Options{
		View: nod.fol.View, Freshness: nod.standing, Peers: nod.gos, Witness: nod, Appender: nod,
		Clock: sim.clk, Logger: quiet, SuspectAfter: freshnessLimit,
	})
	nod.adm = admitter.New(admitter.Options{Incarnation: nod.joi.Member().Incarnation, Clock: sim.clk})
	nod.kee = keeper.New(keeper.Options{
		View: nod.fol.View, Changed: nod.fol.Changed, Self: nod.self, Freshness: nod.standing,
		Stager: stager{pro: prober.New(prober.Options{})}, Facts: nod.gos, Admitter: nod.adm,
		Yield: nod.callYield, Clock: sim.clk, Logger: quiet, Interval: time.Second,
		TakeoverAfter: 3 * freshnessLimit, Spawn: func(call func()) { sim.pendingCalls = append(sim.pendingCalls, call) },
	})
	return nod
}

func (nod *node) self() string { return nod.joi.Member().Incarnation }

func (nod *node) standing() freshnesschecker.Freshness {
	sta := nod.fre.Evaluate()
	if nod.sim.assumeFresh {
		sta.Fresh, sta.CertainOfHomes = true, true
	}
	if !nod.joi.Joined() {
		return freshnesschecker.Freshness{}
	}
	return sta
}

// stager reports every known unit as serving unless its availability zone is out.
type stager struct{ pro *prober.Prober }

func (sta stager) Prober() *prober.Prober { return sta.pro }

func (sta stager) Stage(vie *reducer.View, unit string) (watcher.Stage, string) {
	vm, known := vie.Catalog.Inventory.VMs[unit]
	switch {
	case !known:
		return watcher.StageGone, "gone"
	case vie.Catalog.Rules.ZoneDisabled(vm.Zone):
		return watcher.StageZoneOut, "out"
	default:
		return watcher.StageServing, ""
	}
}

func (sim *simulation) cut(one, two string) bool {
	return sim.cutLinks[[2]string{one, two}]
}

// peerAt returns the running node at an address, unless a link between it and this node is cut.
func (nod *node) peerAt(address string) (*node, bool) {
	for _, oth := range nod.sim.nodes {
		if oth.name == address && !oth.dead && !oth.paused && !nod.sim.cut(nod.name, address) && !nod.sim.cut(address, nod.name) {
			return oth, true
		}
	}
	return nil, false
}

// peerClient makes the calls of a node to its peers.
type peerClient struct{ nod *node }

func (cal peerClient) Exchange(_ context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	oth, there := cal.nod.peerAt(address)
	if !there {
		return gossiper.Answer{}, simulatedError{"peer is unreachable"}
	}
	return oth.gos.Exchange(req), nil
}

func (cal peerClient) Snapshot(_ context.Context, address string) (recorder.Snapshot, error) {
	oth, there := cal.nod.peerAt(address)
	if !there {
		return recorder.Snapshot{}, simulatedError{"peer is unreachable"}
	}
	return oth.fol.Snapshot()
}

// Snapshot returns the state of any peer that a starting node can reach.
func (nod *node) Snapshot(ctx context.Context) (recorder.Snapshot, error) {
	for _, oth := range nod.sim.nodes {
		if oth == nod {
			continue
		}
		if sna, err := (peerClient{nod: nod}).Snapshot(ctx, oth.name); err == nil {
			return sna, nil
		}
	}
	return recorder.Snapshot{}, simulatedError{"no peer is reachable"}
}

func (nod *node) Reaches(_ context.Context, other, target reducer.Member) bool {
	oth, there := nod.peerAt(other.Name)
	if !there {
		return false
	}
	tar, there := oth.peerAt(target.Name)
	return there && tar.self() == target.Incarnation
}

func (nod *node) callYield(_ context.Context, address string, req keeper.YieldRequest) (keeper.YieldAnswer, error) {
	oth, there := nod.peerAt(address)
	if !there {
		return keeper.YieldAnswer{}, simulatedError{"peer is unreachable"}
	}
	return oth.kee.Yield(canceledContext(), req), nil
}

func canceledContext() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	return ctx
}

func (nod *node) logUnavailable() bool {
	return nod.sim.logDown || nod.sim.cutFromLog[nod.name]
}

// Read returns a page of the log to a follower.
func (nod *node) Read(_ context.Context, from int64, limit int, _ time.Duration) (logcaller.Page, error) {
	if nod.logUnavailable() {
		return logcaller.Page{}, simulatedError{"log is unavailable"}
	}
	sim := nod.sim
	next := int64(len(sim.log)) + 1
	if from < sim.firstOffset {
		return logcaller.Page{}, &logcaller.GoneError{First: sim.firstOffset, Next: next}
	}
	pag := logcaller.Page{First: sim.firstOffset, Next: next}
	if from < next {
		until := min(int(from)-1+limit, len(sim.log))
		pag.Entries = slices.Clone(sim.log[from-1 : until])
	}
	return pag, nil
}

// Append appends a record to the log: the record or its answer may be lost, and a second copy may be appended later.
func (nod *node) Append(_ context.Context, rec recorder.Record) (follower.Verdict, error) {
	if nod.logUnavailable() {
		return follower.Verdict{}, simulatedError{"log is unavailable"}
	}
	sim := nod.sim
	rec.ID = sim.newID()
	if sim.rnd.IntN(10) == 0 {
		sim.delayedRecords = append(sim.delayedRecords, rec)
	}
	if sim.rnd.IntN(20) == 0 {
		return follower.Verdict{}, simulatedError{"the log did not answer"}
	}
	return sim.append(rec), nil
}

func (sim *simulation) append(rec recorder.Record) follower.Verdict {
	ent := recorder.Entry{Offset: int64(len(sim.log)) + 1, At: sim.clk.Now(), Record: rec}
	sim.log = append(sim.log, ent)
	before := sim.reference.Revision
	rea := sim.reference.Apply(ent)
	if sim.reference.Revision != before {
		sim.zonesOut[sim.reference.Revision] = fmt.Sprint(sim.reference.Catalog.Rules.DisabledZones)
	}
	return follower.Verdict{Offset: ent.Offset, Reason: rea, Revision: sim.reference.Revision}
}

func (sim *simulation) newID() string {
	var uid uuid.UUID
	millis := uint64(sim.clk.Now().UnixMilli())
	for num := range 6 {
		uid[num] = byte(millis >> (8 * (5 - num)))
	}
	for num := 6; num < 16; num++ {
		uid[num] = byte(sim.rnd.IntN(256))
	}
	uid[6] = uid[6]&0x0f | 0x70
	uid[8] = uid[8]&0x3f | 0x80
	return uid.String()
}
