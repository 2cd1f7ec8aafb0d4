package planner_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	region      = "west-bengal"
	storeRate   = 10.0        // gigabytes per second
	regroupTime = time.Second // time to join a group with weights already held
)

// engine is a fake engine and its VM.
type engine struct {
	alive         bool
	changedAt     time.Time // when alive last changed
	checksFence   bool      // rejects orders older than highestFence
	leaving       bool
	leavesAt      time.Time
	ignoresOrders bool // accepts no load order
	failsLoads    bool // ends every load in the failed state
	hangsLoading  bool // never ends a load
	stepTime      time.Duration
	highestFence  int64
	running       int
	runs          int       // restarts so far
	readyAt       time.Time // when the current load ends
	group         string
	fence         int64
	model         string
	version       string
	state         string
}

// delayedCall is a call that a later tick makes.
type delayedCall struct {
	at  time.Time
	run func()
}

// simulation connects the planner and the real reducer to fake engines and a fake weight store, on a fake clock.
type simulation struct {
	rng            *rand.Rand
	clk            *clockwork.FakeClock
	sta            *reducer.State
	vie            *reducer.View
	pla            *planner.Planner
	mem            *planner.Memory // memory of the current controller
	engines        map[string]*engine
	storeBusyUntil time.Time // when the weight store has made all queued transfers
	writer         string    // incarnation of the current controller
	lastID         uint64
	controllers    int // controllers started so far
	delayed        []delayedCall
	applied        []recorder.Record // proposed records, for late duplicates
	dropRate       float64           // share of orders lost or delayed, and of records delayed
	logDelay       time.Duration     // delay of every proposed record
	formCount      int               // accepted forms
	rejectedCount  int               // rejected records
	onRecord       func(recorder.Record, reducer.Reason, *reducer.View)
	onAction       func(planner.Action)

	onProposal func(recorder.Kind, reducer.Reason)
}

func newSimulation(seed uint64, cat cataloger.Catalog) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)),
		clk: clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)),
		sta: reducer.NewState(), pla: planner.New(region), engines: map[string]*engine{},
		onRecord: func(recorder.Record, reducer.Reason, *reducer.View) {},
		onAction: func(planner.Action) {},

		onProposal: func(recorder.Kind, reducer.Reason) {},
	}
	sim.storeBusyUntil = sim.clk.Now()
	for _, name := range slices.Sorted(maps.Keys(cat.Inventory.VMs)) {
		vm := cat.Inventory.VMs[name]
		sim.engines[name] = &engine{alive: true, checksFence: vm.ChecksFence, state: planner.StateEmpty, stepTime: 20 * time.Millisecond}
	}
	sim.replaceController()
	sim.publish(cat)
	return sim
}

func (sim *simulation) replaceController() {
	sim.controllers++
	old := sim.writer
	inc := fmt.Sprintf("inc-%d", sim.controllers)
	sim.apply(sim.newRecord(recorder.KindJoin, inc, recorder.Member{Name: fmt.Sprintf("entry-%d", sim.controllers), Incarnation: inc, Zone: "z1", Region: region}))
	if old != "" {
		sim.apply(sim.newRecord(recorder.KindEvict, inc, recorder.Departure{Incarnation: old}))
	}
	sim.writer = inc
	sim.mem = planner.NewMemory()
}

func (sim *simulation) publish(into cataloger.Catalog) {
	sim.apply(sim.newRecord(recorder.KindPublication, "", recorder.Publication{BasedOn: sim.sta.Revision, Change: cataloger.Diff(sim.sta.Catalog, into)}))
}

func (sim *simulation) setZonesOut(zones ...string) {
	cat := sim.sta.Catalog
	cat.Rules.DisabledZones = zones
	sim.publish(cat)
}

func (sim *simulation) setModel(name string, change func(*cataloger.Model)) {
	cat := sim.sta.Catalog
	cat.Inventory.Models = maps.Clone(cat.Inventory.Models)
	mod := cat.Inventory.Models[name]
	change(&mod)
	cat.Inventory.Models[name] = mod
	sim.publish(cat)
}

func (sim *simulation) newRecord(kind recorder.Kind, writer string, body any) recorder.Record {
	data, _ := json.Marshal(body)
	sim.lastID++
	var uid uuid.UUID
	binary.BigEndian.PutUint64(uid[:8], uint64(sim.clk.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(uid[8:], sim.lastID|1<<63)
	return recorder.Record{ID: uid.String(), Kind: kind, Version: recorder.Version, Writer: writer, Body: data}
}

func (sim *simulation) apply(rec recorder.Record) reducer.Reason {
	before := sim.vie
	rea := sim.sta.Apply(recorder.Entry{Offset: sim.sta.Offset + 1, At: sim.clk.Now(), Record: rec})
	sim.vie = sim.sta.View()
	if rea == reducer.Accepted && rec.Kind == recorder.KindForm {
		sim.formCount++
	}
	if rea != reducer.Accepted {
		sim.rejectedCount++
	}
	sim.onRecord(rec, rea, before)
	return rea
}

func (sim *simulation) schedule(dur time.Duration, run func()) {
	sim.delayed = append(sim.delayed, delayedCall{at: sim.clk.Now().Add(dur), run: run})
}

// tick advances the clock by one second: it runs the delayed calls that are due, the engines, and one planning round with its actions.
func (sim *simulation) tick() {
	sim.clk.Advance(time.Second)
	due := sim.delayed
	sim.delayed = nil
	for _, del := range due {
		if del.at.After(sim.clk.Now()) {
			sim.delayed = append(sim.delayed, del)
			continue
		}
		del.run()
	}
	for _, name := range slices.Sorted(maps.Keys(sim.engines)) {
		sim.engines[name].advance(sim.clk.Now())
	}
	for _, act := range sim.pla.Plan(sim.clk.Now(), sim.vie, sim.observe(), sim.mem) {
		sim.onAction(act)
		sim.execute(act)
	}
}

func (eng *engine) advance(now time.Time) {
	if eng.leaving && !eng.leavesAt.IsZero() && now.After(eng.leavesAt) && eng.alive {
		eng.die(now)
	}
	if !eng.alive || eng.state != planner.StateLoading || eng.hangsLoading || now.Before(eng.readyAt) {
		return
	}
	eng.state = planner.StateReady
	if eng.failsLoads {
		eng.state, eng.model = planner.StateFailed, ""
	}
}

func (eng *engine) die(now time.Time) {
	eng.alive, eng.changedAt, eng.state, eng.group, eng.fence, eng.model, eng.running = false, now, planner.StateEmpty, "", 0, "", 0
}

func (eng *engine) revive(now time.Time) {
	eng.alive, eng.changedAt, eng.leaving, eng.leavesAt, eng.highestFence = true, now, false, time.Time{}, 0
	eng.runs++
}

func (sim *simulation) observe() planner.Observations {
	now := sim.clk.Now()
	out := planner.Observations{VMs: map[string]planner.Observation{}}
	out.Store = planner.StoreQueue{GigabytesPerSecond: storeRate, QueuedGigabytes: max(0, sim.storeBusyUntil.Sub(now).Seconds()*storeRate)}
	for name, eng := range sim.engines {
		obs := planner.Observation{Health: planner.HealthDead, HealthSince: eng.changedAt, Leaving: eng.leaving, LeavesAt: eng.leavesAt}
		if eng.alive {
			obs.Health, obs.ReportedAt = planner.HealthLive, now
			obs.Group, obs.Fence, obs.Model, obs.Version, obs.State = eng.group, eng.fence, eng.model, eng.version, eng.state
			obs.Running, obs.Started = eng.running, fmt.Sprint(eng.runs)
			if eng.state == planner.StateReady && eng.group != "" {
				obs.StepTime = eng.stepTime
			}
			if eng.group == "" && eng.model != "" {
				reportStaged(&obs, eng)
			}
		} else if now.Sub(eng.changedAt) < time.Second {
			obs.Health = planner.HealthSuspect
		}
		out.VMs[name] = obs
	}
	return out
}

// reportStaged reports preloaded weights as engines do: by model and version once they are held, and not at all before.
func reportStaged(obs *planner.Observation, eng *engine) {
	if eng.state == planner.StateReady {
		obs.PreloadedWeights = []string{eng.model + "@" + eng.version}
	}
	obs.Model, obs.Version, obs.State = "", "", planner.StateEmpty
}

func (sim *simulation) execute(act planner.Action) {
	switch {
	case act.Form != nil:
		sim.propose(recorder.KindForm, act.Form)
	case act.Quiesce != nil:
		sim.propose(recorder.KindQuiesce, act.Quiesce)
	case act.Retire != nil:
		sim.propose(recorder.KindRetire, act.Retire)
	case act.Stage != nil:
		sim.deliver(func() {
			sim.load(act.Stage.VM, "", act.Stage.Fence, act.Stage.Model, act.Stage.Version, act.Stage.WeightsGigabytes)
		})
	case act.Load != nil:
		ord := act.Load
		sim.deliver(func() { sim.load(ord.VM, ord.Group, ord.Fence, ord.Model, ord.Version, ord.WeightsGigabytes) })
	case act.Unload != nil:
		sim.deliver(func() { sim.unload(act.Unload.VM, act.Unload.Fence) })
	}
}

func (sim *simulation) propose(kind recorder.Kind, body any) {
	rec := sim.newRecord(kind, sim.writer, body)
	if sim.logDelay > 0 {
		sim.schedule(sim.logDelay, func() { sim.apply(rec) })
		return
	}
	if sim.rng.Float64() < sim.dropRate {
		sim.schedule(time.Duration(1+sim.rng.IntN(40))*time.Second, func() { sim.apply(rec) })
		return
	}
	sim.onProposal(kind, sim.apply(rec))
	sim.applied = append(sim.applied, rec)
}

func (sim *simulation) deliver(run func()) {
	if sim.rng.Float64() >= sim.dropRate {
		run()
		return
	}
	if sim.rng.IntN(2) == 0 {
		sim.schedule(time.Duration(1+sim.rng.IntN(30))*time.Second, run)
	}
}

func (sim *simulation) load(vm, group string, fence int64, model, version string, gigabytes float64) {
	eng, now := sim.engines[vm], sim.clk.Now()
	if !eng.alive || eng.ignoresOrders || eng.checksFence && fence < eng.highestFence {
		return
	}
	eng.highestFence = max(eng.highestFence, fence)
	if eng.group == group && eng.fence == fence && eng.model == model && eng.version == version && eng.state != planner.StateFailed {
		return
	}
	eng.group, eng.fence = group, fence
	if eng.model == model && eng.version == version && eng.state == planner.StateReady {
		eng.state, eng.readyAt = planner.StateLoading, now.Add(regroupTime)
		return
	}
	if eng.model == model && eng.version == version && eng.state == planner.StateLoading {
		return
	}
	if sim.storeBusyUntil.Before(now) {
		sim.storeBusyUntil = now
	}
	sim.storeBusyUntil = sim.storeBusyUntil.Add(time.Duration(gigabytes / storeRate * float64(time.Second)))
	eng.model, eng.version, eng.state, eng.readyAt = model, version, planner.StateLoading, sim.storeBusyUntil
}

func (sim *simulation) unload(vm string, fence int64) {
	eng := sim.engines[vm]
	if !eng.alive || eng.checksFence && fence < eng.highestFence {
		return
	}
	eng.highestFence = max(eng.highestFence, fence)
	eng.group, eng.fence, eng.model, eng.state = "", 0, "", planner.StateEmpty
}

func (sim *simulation) groupReady(grp reducer.Group) bool {
	for _, name := range grp.VMs {
		eng := sim.engines[name]
		if !eng.alive || eng.state != planner.StateReady || eng.group != grp.Name || eng.fence != grp.Fence {
			return false
		}
	}
	return !sim.vie.Catalog.Rules.ZoneDisabled(grp.Zone)
}

func (sim *simulation) servingGroups(model string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(sim.vie.Groups)) {
		if grp := sim.vie.Groups[name]; grp.Model == model && !grp.Quiesced && sim.groupReady(grp) {
			out = append(out, name)
		}
	}
	return out
}

func (sim *simulation) tickUntil(limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		sim.tick()
	}
	return done()
}

// catalog returns zones z1, z2 ... with fabric domains d1, d2 ... of VMs with 8 accelerators each.
func catalog(zones, domains, vms int, models map[string]cataloger.Model) cataloger.Catalog {
	cat := cataloger.Catalog{Inventory: cataloger.Inventory{
		Zones: map[string]cataloger.Zone{}, VMs: map[string]cataloger.VM{}, Models: models,
	}}
	for zon := 1; zon <= zones; zon++ {
		zone := fmt.Sprintf("z%d", zon)
		cat.Inventory.Zones[zone] = cataloger.Zone{Region: region}
		for dom := 1; dom <= domains; dom++ {
			for num := 1; num <= vms; num++ {
				name := fmt.Sprintf("z%d-d%d-v%02d", zon, dom, num)
				cat.Inventory.VMs[name] = cataloger.VM{
					Zone: zone, Domain: fmt.Sprintf("z%d-d%d", zon, dom), Address: fmt.Sprintf("10.%d.%d.%d:9000", zon, dom, num),
					WorkerKind: cataloger.WorkerEngine, Accelerators: 8, ChecksFence: num%2 == 0,
				}
			}
		}
	}
	return cat
}

func model(replicas, vms int, gigabytes float64) cataloger.Model {
	return cataloger.Model{Version: "1", Replicas: replicas, VMsPerReplica: vms, AcceleratorsPerVM: 8, WeightsGigabytes: gigabytes, ColdLimit: 2, WarmLimit: 16}
}
