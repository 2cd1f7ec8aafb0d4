package conductor_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
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
	service = "pool"
	stall   = 6 * time.Second
	loadIn  = 2 * time.Second
	rejoin  = 200 * time.Millisecond
	stage   = 500 * time.Millisecond
	tick    = 20 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// engine is a server that obeys orders as the platform's workers do.
type engine struct {
	registrar.Server
	orders   int64
	members  []string
	readyAt  time.Time
	dark     bool
	deaf     bool
	unlisted bool
	stillAt  time.Time
}

// late is an order that was not answered and is carried out later.
type late struct {
	at  time.Time
	id  string
	ord conductor.Order
}

// world holds the engines, the records and one or two conductors.
type world struct {
	mux     sync.Mutex
	clk     *clockwork.FakeClock
	rng     *rand.Rand
	reg     *registrar.Registrar
	engines map[string]*engine
	records []conductor.Record
	pending []late
	lateIn  float64
	faults  []string
	// ready holds who was ready in which group and epoch.
	ready  map[string]bool
	leads  []*atomic.Bool
	cancel context.CancelFunc
	done   sync.WaitGroup
	engine router.Engine
	early  atomic.Bool
	// looked is called before each look at the list, unless it is nil.
	looked func()
}

func newWorld(seed uint64, domains, each int) *world {
	wor := &world{
		clk: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, ready: map[string]bool{},
		engine: router.Engine{Slots: 8, LoadsPerSecond: 100, Models: []router.Model{
			{Name: "large", Size: 4, Share: 0.5, Pace: 1, LoadIn: loadIn, StagedIn: stage},
			{Name: "small", Size: 2, Share: 0.5, Pace: 1, LoadIn: loadIn, StagedIn: stage},
		}},
	}
	wor.reg = registrar.New(wor.clk)
	for dom := range domains {
		for num := range each {
			id := fmt.Sprintf("e%d-%02d", dom, num)
			wor.engines[id] = &engine{Server: registrar.Server{
				ID: id, Service: service, Address: id, Zone: fmt.Sprintf("z%d", dom), Domain: fmt.Sprintf("d%d", dom), Started: 1, Slots: 8,
			}}
		}
	}
	wor.list()
	return wor
}

// start runs one more conductor; it leads until its flag is cleared.
func (wor *world) start(ctx context.Context) {
	leads := &atomic.Bool{}
	leads.Store(true)
	log := logrus.New()
	log.SetOutput(io.Discard)
	tab, err := router.New(router.Config{Version: 1, Services: map[string]router.Service{service: {Name: service, Engine: &wor.engine}}})
	if err != nil {
		panic(err)
	}
	con := conductor.New(conductor.Options{
		Records: wor, Engines: wor, View: wor.view, Table: func() *router.Table { return tab }, IsLeader: leads.Load,
		Loads: func(string, string) grouper.Load { return grouper.Load{} }, BeforeFirstRequest: wor.early.Load,
		Clock: wor.clk, Logger: log.WithField("test", true), LoadWindow: 5 * time.Second,
	})
	wor.done.Add(1)
	go func() {
		defer wor.done.Done()
		con.Run(ctx)
	}()
	wor.leads = append(wor.leads, leads)
}

func (wor *world) view() *registrar.View {
	if wor.looked != nil {
		wor.looked()
	}
	return wor.reg.View()
}

// run lets time pass.
func (wor *world) run(dur time.Duration) {
	for range dur / tick {
		wor.clk.Advance(tick)
		wor.mux.Lock()
		wor.move()
		wor.mux.Unlock()
		wor.list()
		time.Sleep(150 * time.Microsecond)
	}
}

// list publishes what the engines say of themselves.
func (wor *world) list() {
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

// move carries out what is due by time; the caller holds the lock.
func (wor *world) move() {
	now := wor.clk.Now()
	wor.pending = slices.DeleteFunc(wor.pending, func(lat late) bool {
		if now.Before(lat.at) {
			return false
		}
		if eng := wor.engines[lat.id]; eng != nil && !eng.dark {
			_ = wor.obey(eng, lat.ord)
		}
		return true
	})
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Joining && !now.Before(eng.readyAt) {
			eng.Group.State = registrar.Ready
			wor.ready[readyKey(eng.Group, eng.ID)] = true
		}
		wor.breakStill(eng, now)
	}
}

// breakStill breaks the group of an open head that has missed a member for the stall time.
func (wor *world) breakStill(head *engine, now time.Time) {
	if head.dark || head.Group.Rank != 0 || head.Group.State != registrar.Open && head.Group.State != registrar.Draining {
		return
	}
	whole := true
	for _, id := range head.members {
		mem := wor.engines[id]
		whole = whole && mem != nil && !mem.dark && mem.Group.Name == head.Group.Name && mem.Group.Epoch == head.Group.Epoch
	}
	switch {
	case whole:
		head.stillAt = time.Time{}
	case head.stillAt.IsZero():
		head.stillAt = now
	case now.Sub(head.stillAt) >= stall:
		head.Group.State = registrar.Broken
	}
}

// obey carries out an order as a worker does; the caller holds the lock.
func (wor *world) obey(eng *engine, ord conductor.Order) error {
	if ord.ExpectedOrders != eng.orders {
		return errors.WithType(errors.New("count"), conductor.ErrOrderMismatch)
	}
	own := eng.Group.Name == ord.Group && eng.Group.Epoch == ord.Epoch
	switch ord.Kind {
	case conductor.Stage:
		eng.Staged = []string{ord.Model}
	case conductor.Join:
		return wor.join(eng, ord)
	case conductor.Open:
		if !own || eng.Group.State != registrar.Ready || eng.Group.Rank != 0 {
			return errors.WithType(errors.New("not ready"), conductor.ErrOrderMismatch)
		}
		wor.checkWhole(eng)
		eng.Group.State = registrar.Open
	case conductor.CloseNow, conductor.CloseGracefully:
		if !own || eng.Group.State != registrar.Open && eng.Group.State != registrar.Draining {
			return errors.WithType(errors.New("not open"), conductor.ErrOrderMismatch)
		}
		eng.Group.State = registrar.Ready
	case conductor.Leave:
		if !own {
			return errors.WithType(errors.New("not in it"), conductor.ErrOrderMismatch)
		}
		eng.Group, eng.members = registrar.Membership{}, nil
	}
	eng.orders++
	return nil
}

func (wor *world) join(eng *engine, ord conductor.Order) error {
	if ord.Epoch < eng.Group.Epoch {
		return errors.WithType(errors.New("old"), conductor.ErrOrderMismatch)
	}
	wor.checkFree(eng, ord)
	wait := loadIn
	switch {
	case eng.Loaded == ord.Model:
		wait = rejoin
	case slices.Contains(eng.Staged, ord.Model):
		wait = stage
	}
	eng.Group = registrar.Membership{Name: ord.Group, Epoch: ord.Epoch, Rank: slices.Index(ord.Members, eng.ID), State: registrar.Joining}
	eng.Loaded, eng.Staged, eng.members, eng.readyAt = ord.Model, []string{ord.Model}, ord.Members, wor.clk.Now().Add(wait)
	eng.orders++
	return nil
}

// checkFree notes a fault when a server joins another group while the head of its own, which it has not left, serves or stands still.
func (wor *world) checkFree(eng *engine, ord conductor.Order) {
	for _, head := range wor.engines {
		if head.Group.Rank != 0 || head.Group.Name == "" || head.Group.Name == ord.Group || eng.Group.Name != head.Group.Name || eng.Group.Epoch != head.Group.Epoch {
			continue
		}
		if !head.dark && (head.Group.State == registrar.Open || head.Group.State == registrar.Draining) {
			wor.faults = append(wor.faults, fmt.Sprintf("%s joins %s while %s of %s is %s", eng.ID, ord.Group, head.Group.Name, head.ID, head.Group.State))
		}
	}
}

func readyKey(gro registrar.Membership, id string) string {
	return fmt.Sprintf("%s %d %s", gro.Name, gro.Epoch, id)
}

// checkWhole notes a fault when a head opens one of whose members has never been ready; one that was and is lost excuses.
func (wor *world) checkWhole(head *engine) {
	for _, id := range head.members {
		if !wor.ready[readyKey(head.Group, id)] {
			wor.faults = append(wor.faults, fmt.Sprintf("%s opens without %s", head.Group.Name, id))
		}
	}
}

// Report answers for an engine.
func (wor *world) Report(ctx context.Context, ser registrar.Server) (conductor.Report, error) {
	eng, err := wor.reach(ctx, ser)
	if err != nil {
		return conductor.Report{}, err
	}
	defer wor.mux.Unlock()
	return conductor.Report{Orders: eng.orders, Started: eng.Started, Group: eng.Group}, nil
}

// Order has an engine obey; some orders are not answered and carried out late.
func (wor *world) Order(ctx context.Context, ser registrar.Server, ord conductor.Order) error {
	eng, err := wor.reach(ctx, ser)
	if err != nil {
		return err
	}
	if wor.rng.Float64() < wor.lateIn {
		wor.pending = append(wor.pending, late{at: wor.clk.Now().Add(time.Duration(2+wor.rng.IntN(10)) * time.Second), id: eng.ID, ord: ord})
		wor.mux.Unlock()
		<-wor.clk.After(400 * time.Millisecond)
		return errNoAnswer
	}
	defer wor.mux.Unlock()
	return wor.obey(eng, ord)
}

// reach returns the engine that answers and holds the lock, or fails without it.
func (wor *world) reach(ctx context.Context, ser registrar.Server) (*engine, error) {
	if ser.Address == "" {
		return nil, errNoAnswer
	}
	wor.mux.Lock()
	eng := wor.engines[ser.ID]
	if eng != nil && !eng.dark && !eng.deaf {
		return eng, nil
	}
	dark := eng != nil && eng.dark
	wor.mux.Unlock()
	if dark {
		select {
		case <-ctx.Done():
		case <-wor.clk.After(400 * time.Millisecond):
		}
		return nil, errNoAnswer
	}
	return nil, errors.WithType(errors.New("refused"), detector.ErrDown)
}

// Newest returns all records.
func (wor *world) Newest(context.Context) ([]conductor.Record, int64, error) {
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
	return out, int64(len(wor.records)), nil
}

// Append adds records at the end that the caller names.
func (wor *world) Append(_ context.Context, at int64, recs []conductor.Record) error {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	if at != int64(len(wor.records)) {
		return errors.WithType(errors.New("end"), conductor.ErrConflict)
	}
	wor.records = append(wor.records, recs...)
	return nil
}

func (wor *world) change(id string, change func(eng *engine)) {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	change(wor.engines[id])
}

// open counts the open groups of a model.
func (wor *world) open(model string) int {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	num := 0
	for _, eng := range wor.engines {
		if eng.Group.State == registrar.Open && !eng.dark && eng.Loaded == model {
			num++
		}
	}
	return num
}

// heads returns the IDs of open heads, sorted.
func (wor *world) heads(model string) []string {
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

func (wor *world) wrong() []string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	return slices.Clone(wor.faults)
}

func (wor *world) stop() {
	wor.cancel()
	for range 200 {
		wor.clk.Advance(tick)
		time.Sleep(50 * time.Microsecond)
	}
	wor.done.Wait()
}
