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
	region    = "west-bengal"
	storeRate = 10.0
	regroup   = time.Second
)

type engine struct {
	alive    bool
	changed  time.Time
	checks   bool
	leaving  bool
	leavesAt time.Time
	ignores  bool
	fails    bool
	hangs    bool
	step     time.Duration
	seen     int64
	running  int
	started  int
	readyAt  time.Time
	group    string
	fence    int64
	model    string
	version  string
	state    string
}

type late struct {
	at  time.Time
	run func()
}

// world is the real fold with fakes of the engines and the weight store.
type world struct {
	rng      *rand.Rand
	clk      *clockwork.FakeClock
	sta      *reducer.State
	vie      *reducer.View
	pla      *planner.Planner
	mem      *planner.Memory
	engines  map[string]*engine
	storeAt  time.Time
	writer   string
	ids      uint64
	entries  int
	lates    []late
	folded   []recorder.Record
	dropRate float64
	slow     time.Duration
	forms    int
	voids    int
	onRecord func(recorder.Record, reducer.Reason, *reducer.View)
	onAction func(planner.Action)

	onProposal func(recorder.Kind, reducer.Reason)
}

func newWorld(seed uint64, cat cataloger.Catalog) *world {
	wor := &world{
		rng: rand.New(rand.NewPCG(seed, 1)),
		clk: clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)),
		sta: reducer.NewState(), pla: planner.New(region), engines: map[string]*engine{},
		onRecord: func(recorder.Record, reducer.Reason, *reducer.View) {},
		onAction: func(planner.Action) {},

		onProposal: func(recorder.Kind, reducer.Reason) {},
	}
	wor.storeAt = wor.clk.Now()
	for _, name := range slices.Sorted(maps.Keys(cat.Inventory.VMs)) {
		vm := cat.Inventory.VMs[name]
		wor.engines[name] = &engine{alive: true, checks: vm.ChecksFence, state: planner.StateEmpty, step: 20 * time.Millisecond}
	}
	wor.replaceController()
	wor.publish(cat)
	return wor
}

func (wor *world) replaceController() {
	wor.entries++
	old := wor.writer
	inc := fmt.Sprintf("inc-%d", wor.entries)
	wor.apply(wor.record(recorder.KindJoin, inc, recorder.Member{Name: fmt.Sprintf("entry-%d", wor.entries), Incarnation: inc, Zone: "z1", Region: region}))
	if old != "" {
		wor.apply(wor.record(recorder.KindEvict, inc, recorder.Departure{Incarnation: old}))
	}
	wor.writer = inc
	wor.mem = planner.NewMemory()
}

func (wor *world) publish(into cataloger.Catalog) {
	wor.apply(wor.record(recorder.KindPublication, "", recorder.Publication{BasedOn: wor.sta.Revision, Change: cataloger.Diff(wor.sta.Catalog, into)}))
}

func (wor *world) setZonesOut(zones ...string) {
	cat := wor.sta.Catalog
	cat.Rules.ZonesOut = zones
	wor.publish(cat)
}

func (wor *world) setModel(name string, change func(*cataloger.Model)) {
	cat := wor.sta.Catalog
	cat.Inventory.Models = maps.Clone(cat.Inventory.Models)
	mod := cat.Inventory.Models[name]
	change(&mod)
	cat.Inventory.Models[name] = mod
	wor.publish(cat)
}

func (wor *world) record(kind recorder.Kind, writer string, body any) recorder.Record {
	data, _ := json.Marshal(body)
	wor.ids++
	var uid uuid.UUID
	binary.BigEndian.PutUint64(uid[:8], uint64(wor.clk.Now().UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(uid[8:], wor.ids|1<<63)
	return recorder.Record{ID: uid.String(), Kind: kind, Version: recorder.Version, Writer: writer, Body: data}
}

func (wor *world) apply(rec recorder.Record) reducer.Reason {
	before := wor.vie
	rea := wor.sta.Apply(recorder.Entry{Offset: wor.sta.Offset + 1, At: wor.clk.Now(), Record: rec})
	wor.vie = wor.sta.View()
	if rea == reducer.Accepted && rec.Kind == recorder.KindForm {
		wor.forms++
	}
	if rea != reducer.Accepted {
		wor.voids++
	}
	wor.onRecord(rec, rea, before)
	return rea
}

func (wor *world) later(dur time.Duration, run func()) {
	wor.lates = append(wor.lates, late{at: wor.clk.Now().Add(dur), run: run})
}

// tick advances a second: late arrivals, engines, one round and its actions.
func (wor *world) tick() {
	wor.clk.Advance(time.Second)
	due := wor.lates
	wor.lates = nil
	for _, lat := range due {
		if lat.at.After(wor.clk.Now()) {
			wor.lates = append(wor.lates, lat)
			continue
		}
		lat.run()
	}
	for _, name := range slices.Sorted(maps.Keys(wor.engines)) {
		wor.engines[name].advance(wor.clk.Now())
	}
	for _, act := range wor.pla.Plan(wor.clk.Now(), wor.vie, wor.observe(), wor.mem) {
		wor.onAction(act)
		wor.carryOut(act)
	}
}

func (eng *engine) advance(now time.Time) {
	if eng.leaving && !eng.leavesAt.IsZero() && now.After(eng.leavesAt) && eng.alive {
		eng.die(now)
	}
	if !eng.alive || eng.state != planner.StateLoading || eng.hangs || now.Before(eng.readyAt) {
		return
	}
	eng.state = planner.StateReady
	if eng.fails {
		eng.state, eng.model = planner.StateFailed, ""
	}
}

func (eng *engine) die(now time.Time) {
	eng.alive, eng.changed, eng.state, eng.group, eng.fence, eng.model, eng.running = false, now, planner.StateEmpty, "", 0, "", 0
}

func (eng *engine) revive(now time.Time) {
	eng.alive, eng.changed, eng.leaving, eng.leavesAt, eng.seen = true, now, false, time.Time{}, 0
	eng.started++
}

func (wor *world) observe() planner.Observations {
	now := wor.clk.Now()
	out := planner.Observations{VMs: map[string]planner.Observation{}}
	out.Store = planner.Store{GigabytesPerSecond: storeRate, QueuedGigabytes: max(0, wor.storeAt.Sub(now).Seconds()*storeRate)}
	for name, eng := range wor.engines {
		obs := planner.Observation{Health: planner.HealthDead, Since: eng.changed, Leaving: eng.leaving, LeavesAt: eng.leavesAt}
		if eng.alive {
			obs.Health, obs.At = planner.HealthLive, now
			obs.Group, obs.Fence, obs.Model, obs.Version, obs.State = eng.group, eng.fence, eng.model, eng.version, eng.state
			obs.Running, obs.Started = eng.running, fmt.Sprint(eng.started)
			if eng.state == planner.StateReady && eng.group != "" {
				obs.StepTime = eng.step
			}
			if eng.group == "" && eng.model != "" {
				showStaged(&obs, eng)
			}
		} else if now.Sub(eng.changed) < time.Second {
			obs.Health = planner.HealthSuspect
		}
		out.VMs[name] = obs
	}
	return out
}

// showStaged shows weights that were loaded ahead as engines do: by name once they are held, and not at all before.
func showStaged(obs *planner.Observation, eng *engine) {
	if eng.state == planner.StateReady {
		obs.Weights = []string{eng.model + "@" + eng.version}
	}
	obs.Model, obs.Version, obs.State = "", "", planner.StateEmpty
}

func (wor *world) carryOut(act planner.Action) {
	switch {
	case act.Form != nil:
		wor.propose(recorder.KindForm, act.Form)
	case act.Quiesce != nil:
		wor.propose(recorder.KindQuiesce, act.Quiesce)
	case act.Retire != nil:
		wor.propose(recorder.KindRetire, act.Retire)
	case act.Stage != nil:
		wor.deliver(func() {
			wor.load(act.Stage.VM, "", act.Stage.Fence, act.Stage.Model, act.Stage.Version, act.Stage.WeightsGigabytes)
		})
	case act.Load != nil:
		ord := act.Load
		wor.deliver(func() { wor.load(ord.VM, ord.Group, ord.Fence, ord.Model, ord.Version, ord.WeightsGigabytes) })
	case act.Unload != nil:
		wor.deliver(func() { wor.unload(act.Unload.VM, act.Unload.Fence) })
	}
}

func (wor *world) propose(kind recorder.Kind, body any) {
	rec := wor.record(kind, wor.writer, body)
	if wor.slow > 0 {
		wor.later(wor.slow, func() { wor.apply(rec) })
		return
	}
	if wor.rng.Float64() < wor.dropRate {
		wor.later(time.Duration(1+wor.rng.IntN(40))*time.Second, func() { wor.apply(rec) })
		return
	}
	wor.onProposal(kind, wor.apply(rec))
	wor.folded = append(wor.folded, rec)
}

func (wor *world) deliver(run func()) {
	if wor.rng.Float64() >= wor.dropRate {
		run()
		return
	}
	if wor.rng.IntN(2) == 0 {
		wor.later(time.Duration(1+wor.rng.IntN(30))*time.Second, run)
	}
}

func (wor *world) load(vm, group string, fence int64, model, version string, gigabytes float64) {
	eng, now := wor.engines[vm], wor.clk.Now()
	if !eng.alive || eng.ignores || eng.checks && fence < eng.seen {
		return
	}
	eng.seen = max(eng.seen, fence)
	if eng.group == group && eng.fence == fence && eng.model == model && eng.version == version && eng.state != planner.StateFailed {
		return
	}
	eng.group, eng.fence = group, fence
	if eng.model == model && eng.version == version && eng.state == planner.StateReady {
		eng.state, eng.readyAt = planner.StateLoading, now.Add(regroup)
		return
	}
	if eng.model == model && eng.version == version && eng.state == planner.StateLoading {
		return
	}
	if wor.storeAt.Before(now) {
		wor.storeAt = now
	}
	wor.storeAt = wor.storeAt.Add(time.Duration(gigabytes / storeRate * float64(time.Second)))
	eng.model, eng.version, eng.state, eng.readyAt = model, version, planner.StateLoading, wor.storeAt
}

func (wor *world) unload(vm string, fence int64) {
	eng := wor.engines[vm]
	if !eng.alive || eng.checks && fence < eng.seen {
		return
	}
	eng.seen = max(eng.seen, fence)
	eng.group, eng.fence, eng.model, eng.state = "", 0, "", planner.StateEmpty
}

func (wor *world) ready(grp reducer.Group) bool {
	for _, name := range grp.VMs {
		eng := wor.engines[name]
		if !eng.alive || eng.state != planner.StateReady || eng.group != grp.Name || eng.fence != grp.Fence {
			return false
		}
	}
	return !wor.vie.Catalog.Rules.ZoneOut(grp.Zone)
}

func (wor *world) serving(model string) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(wor.vie.Groups)) {
		if grp := wor.vie.Groups[name]; grp.Model == model && !grp.Quiesced && wor.ready(grp) {
			out = append(out, name)
		}
	}
	return out
}

func (wor *world) until(limit int, done func() bool) bool {
	for range limit {
		if done() {
			return true
		}
		wor.tick()
	}
	return done()
}

// catalog has zones z1, z2 ... of domains d1, d2 ... of VMs with 8 accelerators each.
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
					Worker: cataloger.WorkerEngine, Accelerators: 8, ChecksFence: num%2 == 0,
				}
			}
		}
	}
	return cat
}

func model(replicas, vms int, gigabytes float64) cataloger.Model {
	return cataloger.Model{Version: "1", Replicas: replicas, VMsPerReplica: vms, AcceleratorsEach: 8, WeightsGigabytes: gigabytes, ColdLimit: 2, WarmLimit: 16}
}
