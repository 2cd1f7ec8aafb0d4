package conductor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

const (
	service      = "pool"
	stallTimeout = 6 * time.Second
	loadTime     = 2 * time.Second
	rejoinTime   = 200 * time.Millisecond
	stagedTime   = 500 * time.Millisecond
	tick         = 20 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// engine is a simulated server that executes orders as the platform's workers do.
type engine struct {
	registrar.Server
	orders      int64
	members     []string
	readyAt     time.Time
	unreachable bool
	// drainsFor is how long the engine finishes its requests after a graceful close, until drainedAt.
	drainsFor    time.Duration
	drainedAt    time.Time
	notListening bool
	unlisted     bool
	stalledSince time.Time
}

// discardMeter records nothing.
type discardMeter struct{}

func (discardMeter) RecordModel(string, grouper.ModelState) {}

// lateOrder is an order that was not answered and is executed later.
type lateOrder struct {
	at     time.Time
	id     string
	ord    conductor.Order
	leader string
}

// event is something that happened in the world. Group and server are empty in events that concern all of them.
type event struct {
	at     time.Time
	group  string
	server string
	text   string
}

// caller is the client of one conductor, so that events tell which conductor sent an order.
type caller struct {
	*world
	name string
}

// world is a simulation of the engines, the records and one or two conductors.
type world struct {
	mux             sync.Mutex
	clk             *clockwork.FakeClock
	rng             *rand.Rand
	reg             *registrar.Registrar
	engines         map[string]*engine
	records         []conductor.Record
	era             int64
	pending         []lateOrder
	lateProbability float64
	// pauseProbability is the probability that a leader is paused before a call to an engine or the records takes effect.
	pauseProbability float64
	violations       []string
	// traces holds the events that led to each violation.
	traces []string
	// ready holds which server was ready in which group and epoch, by readyKey.
	ready   map[string]bool
	leaders []*atomic.Bool
	// decided holds the decisions on groups in the order in which they were appended, also those that are lost.
	decided []grouper.Formation
	// events holds what happened so far, for the message of a violation.
	events []event
	cancel context.CancelFunc
	done   sync.WaitGroup
	engine router.Engine
	early  atomic.Bool
	// listDelayed is set while the server list shows no changes.
	listDelayed atomic.Bool
	// beforeOrder is called with the lock held before an engine executes an order, unless it is nil.
	beforeOrder func(eng *engine, ord conductor.Order)
	// beforeView is called before each read of the server list, unless it is nil.
	beforeView func()
}

func newWorld(seed uint64, each int) *world {
	wor := &world{
		clk: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, ready: map[string]bool{},
		engine: router.Engine{Slots: 8, LoadsPerSecond: 100, Models: []router.Model{
			{Name: "large", Size: 4, Share: 0.5, TimeFactor: 1, StoreLoadTime: loadTime, HostLoadTime: stagedTime},
			{Name: "small", Size: 2, Share: 0.5, TimeFactor: 1, StoreLoadTime: loadTime, HostLoadTime: stagedTime},
		}},
	}
	wor.reg = registrar.New(wor.clk)
	for dom := range 2 {
		for num := range each {
			id := fmt.Sprintf("e%d-%02d", dom, num)
			wor.engines[id] = &engine{Server: registrar.Server{
				ID: id, Service: service, Address: id, Zone: fmt.Sprintf("z%d", dom), Domain: fmt.Sprintf("d%d", dom), Started: 1, Slots: 8,
			}}
		}
	}
	wor.publish()
	return wor
}

// start runs one more conductor, which is the leader until its flag is cleared.
func (wor *world) start(ctx context.Context) {
	leads := &atomic.Bool{}
	leads.Store(true)
	log := logrus.New()
	log.SetOutput(io.Discard)
	tab, err := router.New(router.Config{Version: 1, Services: map[string]router.Service{service: {Name: service, Engine: &wor.engine}}})
	if err != nil {
		panic(err)
	}
	cal := caller{world: wor, name: fmt.Sprint("leader ", len(wor.leaders))}
	wor.mux.Lock()
	wor.note("", "", cal.name+" starts")
	wor.mux.Unlock()
	con := conductor.New(conductor.Options{
		Records: cal, Engines: cal, View: wor.view, Table: func() *router.Table { return tab }, IsLeader: leads.Load,
		Loads: func(string, string) grouper.Load { return grouper.Load{} }, BeforeFirstRequest: wor.early.Load,
		Meter: discardMeter{}, Clock: wor.clk, Logger: log.WithField("test", true), LoadWindow: 5 * time.Second,
	})
	wor.done.Add(1)
	go func() {
		defer wor.done.Done()
		con.Run(ctx)
	}()
	wor.leaders = append(wor.leaders, leads)
}

func (wor *world) view() *registrar.View {
	if wor.beforeView != nil {
		wor.beforeView()
	}
	return wor.reg.View()
}

// run advances the clock by dur in ticks.
func (wor *world) run(dur time.Duration) {
	for range dur / tick {
		wor.clk.Advance(tick)
		wor.mux.Lock()
		wor.process()
		wor.mux.Unlock()
		wor.publish()
		time.Sleep(150 * time.Microsecond)
	}
}

// publish updates the server list from the state of the engines.
func (wor *world) publish() {
	if wor.listDelayed.Load() {
		return
	}
	wor.mux.Lock()
	all := map[string]registrar.Server{}
	for id, eng := range wor.engines {
		if !eng.unlisted {
			all[id] = eng.Server
		}
	}
	wor.mux.Unlock()
	wor.reg.Replace(all, false)
}

// process executes late orders and state changes that are due. The caller holds the lock.
func (wor *world) process() {
	now := wor.clk.Now()
	wor.pending = slices.DeleteFunc(wor.pending, func(lat lateOrder) bool {
		if now.Before(lat.at) {
			return false
		}
		if eng := wor.engines[lat.id]; eng != nil && !eng.unreachable {
			_ = wor.execute(eng, lat.ord, lat.leader+", late")
		}
		return true
	})
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Joining && !now.Before(eng.readyAt) {
			eng.Group.State = registrar.Ready
			wor.ready[readyKey(eng.Group, eng.ID)] = true
		}
		if eng.Group.State == registrar.Draining && !now.Before(eng.drainedAt) {
			eng.Group.State = registrar.Ready
		}
		wor.breakStalled(eng, now)
	}
}

// breakStalled marks the group of an open head as broken when a member has been missing for stallTimeout.
func (wor *world) breakStalled(head *engine, now time.Time) {
	if head.unreachable || head.Group.Rank != 0 || head.Group.State != registrar.Open && head.Group.State != registrar.Draining {
		return
	}
	whole := true
	for _, id := range head.members {
		mem := wor.engines[id]
		whole = whole && mem != nil && !mem.unreachable && mem.Group.Name == head.Group.Name && mem.Group.Epoch == head.Group.Epoch
	}
	switch {
	case whole:
		head.stalledSince = time.Time{}
	case head.stalledSince.IsZero():
		head.stalledSince = now
	case now.Sub(head.stalledSince) >= stallTimeout:
		head.Group.State = registrar.Broken
	}
}

// execute executes an order as a worker does. The caller holds the lock.
func (wor *world) execute(eng *engine, ord conductor.Order, sender string) error {
	before := eng.Group
	err := wor.obey(eng, ord)
	wor.note(ord.Group, eng.ID, fmt.Sprintf("%s from %s: expects %d orders of %d, in %s %d %s, then %s %d %s, %v", ord.Kind, sender, ord.ExpectedOrders, eng.orders, before.Name, before.Epoch, before.State, eng.Group.Name, eng.Group.Epoch, eng.Group.State, err))
	return err
}

// obey changes the state of an engine as an order says.
func (wor *world) obey(eng *engine, ord conductor.Order) error {
	if ord.ExpectedOrders != eng.orders {
		return errors.WithType(errors.New("wrong order count"), conductor.ErrOrderMismatch)
	}
	own := eng.Group.Name == ord.Group && eng.Group.Epoch == ord.Epoch
	switch ord.Kind {
	case conductor.Stage:
		if slices.Contains(eng.Staged, ord.Model) {
			return nil
		}
		eng.Staged = []string{ord.Model}
	case conductor.Join:
		return wor.join(eng, ord)
	case conductor.Open:
		if !own || eng.Group.State != registrar.Ready || eng.Group.Rank != 0 {
			return errors.WithType(errors.New("head is not ready"), conductor.ErrOrderMismatch)
		}
		wor.checkWhole(eng)
		eng.Group.State = registrar.Open
	case conductor.CloseNow, conductor.CloseGracefully:
		if !own || eng.Group.State != registrar.Open && eng.Group.State != registrar.Draining {
			return errors.WithType(errors.New("head is not open"), conductor.ErrOrderMismatch)
		}
		eng.Group.State = registrar.Ready
		if ord.Kind == conductor.CloseGracefully && eng.drainsFor > 0 {
			eng.Group.State, eng.drainedAt = registrar.Draining, wor.clk.Now().Add(eng.drainsFor)
		}
	case conductor.Leave:
		if !own {
			return errors.WithType(errors.New("server is not in the group"), conductor.ErrOrderMismatch)
		}
		wor.checkMayLeave(eng)
		eng.Group, eng.members = registrar.Membership{}, nil
	}
	eng.orders++
	return nil
}

func (wor *world) join(eng *engine, ord conductor.Order) error {
	if ord.Epoch < eng.Group.Epoch {
		return errors.WithType(errors.New("epoch is older than that of the current group"), conductor.ErrOrderMismatch)
	}
	if eng.Group.Name == ord.Group && eng.Group.Epoch == ord.Epoch && !slices.Equal(eng.members, ord.Members) {
		wor.addViolation(ord.Group, fmt.Sprintf("%s joins %s of epoch %d with other members", eng.ID, ord.Group, ord.Epoch))
		return errors.WithType(errors.New("other members"), conductor.ErrOrderMismatch)
	}
	if eng.Group.Name == ord.Group && eng.Group.Epoch == ord.Epoch {
		wor.addViolation(ord.Group, fmt.Sprintf("%s joins %s of epoch %d again", eng.ID, ord.Group, ord.Epoch))
	}
	wor.checkFree(eng, ord)
	wait := loadTime
	switch {
	case eng.Loaded == ord.Model:
		wait = rejoinTime
	case slices.Contains(eng.Staged, ord.Model):
		wait = stagedTime
	}
	eng.Group = registrar.Membership{Name: ord.Group, Epoch: ord.Epoch, Rank: slices.Index(ord.Members, eng.ID), State: registrar.Joining}
	eng.Loaded, eng.Staged, eng.members, eng.readyAt = ord.Model, []string{ord.Model}, ord.Members, wor.clk.Now().Add(wait)
	eng.orders++
	return nil
}

// checkMayLeave records a violation when a member leaves a whole group whose head is open.
func (wor *world) checkMayLeave(eng *engine) {
	for _, head := range wor.engines {
		if head == eng || head.Group.Rank != 0 || head.Group.Name != eng.Group.Name || head.Group.Epoch != eng.Group.Epoch || head.Group.State != registrar.Open {
			continue
		}
		if !head.unreachable && !head.unlisted && !head.notListening && !head.Draining && head.stalledSince.IsZero() {
			wor.addViolation(eng.Group.Name, fmt.Sprintf("%s leaves %s while %s is open", eng.ID, eng.Group.Name, head.ID))
		}
	}
}

// checkFree records a violation when a server joins another group while the head of the group that it has not left is open or draining.
func (wor *world) checkFree(eng *engine, ord conductor.Order) {
	for _, head := range wor.engines {
		if head.Group.Rank != 0 || head.Group.Name == "" || head.Group.Name == ord.Group || eng.Group.Name != head.Group.Name || eng.Group.Epoch != head.Group.Epoch {
			continue
		}
		if !head.unreachable && (head.Group.State == registrar.Open || head.Group.State == registrar.Draining) {
			wor.addViolation(head.Group.Name, fmt.Sprintf("%s joins %s while %s of %s is %s", eng.ID, ord.Group, head.Group.Name, head.ID, head.Group.State))
		}
	}
}

func readyKey(gro registrar.Membership, id string) string {
	return fmt.Sprintf("%s %d %s", gro.Name, gro.Epoch, id)
}

// checkWhole records a violation when a head opens although one of its members has never been ready. A member that was ready and is lost since is allowed.
func (wor *world) checkWhole(head *engine) {
	for _, id := range head.members {
		if !wor.ready[readyKey(head.Group, id)] {
			wor.addViolation(head.Group.Name, fmt.Sprintf("%s opens without %s", head.Group.Name, id))
		}
	}
}

// pause delays a call by up to a second at random.
func (wor *world) pause(ctx context.Context) {
	wor.mux.Lock()
	paused := wor.rng.Float64() < wor.pauseProbability
	dur := time.Duration(wor.rng.IntN(1000)) * time.Millisecond
	wor.mux.Unlock()
	if !paused {
		return
	}
	select {
	case <-ctx.Done():
	case <-wor.clk.After(dur):
	}
}

// Report returns the report of an engine.
func (wor *world) Report(ctx context.Context, ser registrar.Server) (conductor.Report, error) {
	eng, err := wor.reach(ctx, ser)
	if err != nil {
		return conductor.Report{}, err
	}
	defer wor.mux.Unlock()
	return conductor.Report{Orders: eng.orders, Started: eng.Started, Group: eng.Group}, nil
}

// Order executes an order. Some orders get no answer and are executed late.
func (cal caller) Order(ctx context.Context, ser registrar.Server, ord conductor.Order) error {
	wor := cal.world
	wor.pause(ctx)
	eng, err := wor.reach(ctx, ser)
	if err != nil {
		return err
	}
	if wor.rng.Float64() < wor.lateProbability {
		wor.pending = append(wor.pending, lateOrder{at: wor.clk.Now().Add(time.Duration(2+wor.rng.IntN(10)) * time.Second), id: eng.ID, ord: ord, leader: cal.name})
		wor.note(ord.Group, eng.ID, fmt.Sprintf("%s from %s is not answered", ord.Kind, cal.name))
		wor.mux.Unlock()
		select {
		case <-ctx.Done():
		case <-wor.clk.After(400 * time.Millisecond):
		}
		return errNoAnswer
	}
	defer wor.mux.Unlock()
	if wor.beforeOrder != nil {
		wor.beforeOrder(eng, ord)
	}
	return wor.execute(eng, ord, cal.name)
}

// reach returns the engine if it answers, with the lock held. On failure the lock is not held.
func (wor *world) reach(ctx context.Context, ser registrar.Server) (*engine, error) {
	if ser.Address == "" {
		return nil, errNoAnswer
	}
	wor.mux.Lock()
	eng := wor.engines[ser.ID]
	if eng != nil && !eng.unreachable && !eng.notListening {
		return eng, nil
	}
	unreachable := eng != nil && eng.unreachable
	wor.mux.Unlock()
	if unreachable {
		select {
		case <-ctx.Done():
		case <-wor.clk.After(400 * time.Millisecond):
		}
		return nil, errNoAnswer
	}
	return nil, errors.WithType(errors.New("connection refused"), detector.ErrDown)
}

// Newest returns the latest record of each group.
func (wor *world) Newest(context.Context) ([]conductor.Record, conductor.Position, error) {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	newest := map[string]conductor.Record{}
	for _, rec := range wor.records {
		newest[rec.Name] = rec
	}
	var out []conductor.Record
	for _, rec := range newest {
		out = append(out, rec)
	}
	return out, conductor.Position{Era: wor.era, Offset: int64(len(wor.records))}, nil
}

// Check compares the end of the records and the era.
func (wor *world) Check(_ context.Context, at conductor.Position) error {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	if end := (conductor.Position{Era: wor.era, Offset: int64(len(wor.records))}); at != end {
		return errors.WithType(errors.Errorf("records end at %v", end), conductor.ErrConflict)
	}
	return nil
}

// Append appends records if at is the end of the records. In another era the records are appended, and the era of the answer tells.
func (cal caller) Append(ctx context.Context, at conductor.Position, recs []conductor.Record) error {
	wor := cal.world
	wor.pause(ctx)
	wor.mux.Lock()
	defer wor.mux.Unlock()
	for _, rec := range recs {
		wor.note(rec.Name, "", fmt.Sprintf("%s appends at %v, the end is %d %d: %s", cal.name, at, wor.era, len(wor.records), rec.Value))
	}
	if at.Offset != int64(len(wor.records)) {
		return errors.WithType(errors.New("wrong end of the records"), conductor.ErrConflict)
	}
	wor.records = append(wor.records, recs...)
	if at.Era == wor.era {
		wor.checkNames(recs)
	}
	if at.Era != wor.era {
		return errors.WithType(errors.New("another era"), conductor.ErrConflict)
	}
	return nil
}

// checkNames records a violation when a group has the name or the epoch of an earlier one. The caller holds the lock.
func (wor *world) checkNames(recs []conductor.Record) {
	for _, rec := range recs {
		var frm grouper.Formation
		if len(rec.Value) == 0 || json.Unmarshal(rec.Value, &frm) != nil {
			continue
		}
		for _, oth := range wor.decided {
			if (oth.Name == frm.Name || oth.Epoch == frm.Epoch) && !slices.Equal(oth.Members, frm.Members) {
				wor.addViolation(frm.Name, fmt.Sprintf("%s of epoch %d is given out after %s of epoch %d", frm.Name, frm.Epoch, oth.Name, oth.Epoch))
			}
		}
		wor.decided = append(wor.decided, frm)
	}
}

// restore brings the records back from a copy that lacks the last ones.
func (wor *world) restore(lost int) {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	wor.records = slices.Clone(wor.records[:max(0, len(wor.records)-lost)])
	wor.era++
	wor.note("", "", fmt.Sprintf("store comes back as era %d from a copy with %d records", wor.era, len(wor.records)))
}

// note records an event. The caller holds the lock.
func (wor *world) note(group, server, text string) {
	wor.events = append(wor.events, event{at: wor.clk.Now(), group: group, server: server, text: text})
}

// addViolation records a violation with the events of a group and of its servers. The caller holds the lock.
func (wor *world) addViolation(group string, text string) {
	servers := map[string]bool{}
	for _, eve := range wor.events {
		if eve.group == group {
			servers[eve.server] = true
		}
	}
	wor.violations = append(wor.violations, text)
	lines := []string{text}
	for _, eve := range wor.events {
		if eve.group == group || servers[eve.server] {
			lines = append(lines, fmt.Sprintf("  %s %s %s: %s", eve.at.Format("05.000"), eve.group, eve.server, eve.text))
		}
	}
	wor.traces = append(wor.traces, strings.Join(lines, "\n"))
}

// recordedGroups returns the names of the groups that the records list.
func (wor *world) recordedGroups() map[string]bool {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	out := map[string]bool{}
	for _, rec := range wor.records {
		if len(rec.Value) > 0 {
			out[rec.Name] = true
		} else {
			delete(out, rec.Name)
		}
	}
	return out
}

// groupsOf returns the groups of the open heads of a model.
func (wor *world) groupsOf(model string) []string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	var out []string
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Open && eng.Loaded == model {
			out = append(out, eng.Group.Name)
		}
	}
	slices.Sort(out)
	return out
}

func (wor *world) change(id string, change func(eng *engine)) {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	change(wor.engines[id])
}

// countOpen returns the number of open groups of a model.
func (wor *world) countOpen(model string) int {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	num := 0
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Open && !eng.unreachable && eng.Loaded == model {
			num++
		}
	}
	return num
}

// openHeads returns the sorted IDs of the open heads of a model.
func (wor *world) openHeads(model string) []string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	var out []string
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Open && eng.Loaded == model {
			out = append(out, eng.ID)
		}
	}
	slices.Sort(out)
	return out
}

// standbyHeads returns the sorted IDs of the heads of groups that are complete and not open.
func (wor *world) standbyHeads() []string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	var out []string
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Ready && eng.Group.Rank == 0 && len(eng.members) > 1 && wor.hasRecord(eng.Group.Name) {
			out = append(out, eng.ID)
		}
	}
	slices.Sort(out)
	return out
}

// headOf returns the head of a group, or nil if no engine is its head. The caller holds the lock.
func (wor *world) headOf(group string) *engine {
	for _, eng := range wor.engines {
		if eng.Group.Name == group && eng.Group.Rank == 0 {
			return eng
		}
	}
	return nil
}

// hasRecord reports whether the records list a group. The caller holds the lock.
func (wor *world) hasRecord(group string) bool {
	recorded := false
	for _, rec := range wor.records {
		if rec.Name == group {
			recorded = len(rec.Value) > 0
		}
	}
	return recorded
}

func (wor *world) violationsFound() []string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	return slices.Clone(wor.violations)
}

// explain returns the seed and the events that led to the violations.
func (wor *world) explain(seed uint64) string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	return fmt.Sprintf("seed %d\n%s", seed, strings.Join(wor.traces, "\n"))
}

func (wor *world) stop() {
	wor.cancel()
	for range 200 {
		wor.clk.Advance(tick)
		time.Sleep(50 * time.Microsecond)
	}
	wor.done.Wait()
}
