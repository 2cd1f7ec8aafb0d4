package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// stepEvery is the time between two looks at what is to be done.
const stepEvery = 60 * time.Millisecond

// ErrConflict says that the records have another end than the append named, so that somebody else decided something.
const ErrConflict = errors.ConstError("records have another end")

// ErrRefused says that the store turned an append away and did nothing.
const ErrRefused = errors.ConstError("append was refused")

// Record is the decision on a group by name; no value ends the group.
type Record struct {
	Name  string
	Value []byte
}

// Records keeps the newest decision on each group; Append fails with ErrConflict, ErrRefused, or another error when its outcome is unknown.
type Records interface {
	Newest(ctx context.Context) (recs []Record, end int64, err error)
	Append(ctx context.Context, at int64, recs []Record) error
}

// Options are what a conductor needs; LoadWindow is the span over which loads are counted.
type Options struct {
	Records            Records
	Engines            EngineClient
	View               func() *registrar.View
	Table              func() *router.Table
	IsLeader           func() bool
	Loads              func(service, model string) grouper.Load
	BeforeFirstRequest func() bool
	// Ended is told the lives of servers that were found to have ended.
	Ended      func(lif registrar.Life)
	Clock      clockwork.Clock
	Logger     *logrus.Entry
	LoadWindow time.Duration
}

// Conductor carries out decisions; its methods but Run are for its own goroutines.
type Conductor struct {
	opt Options

	mux        sync.Mutex
	formations map[string]grouper.Formation
	known      bool
	end        int64
	staging    map[registrar.Life]string
	busy       map[string]bool
	dissolving map[string]bool
	retired    []string
	orders     map[registrar.Life]int64
	servers    map[registrar.Life]registrar.Server
	loads      []time.Time
	forming    int
}

// New returns a conductor that knows no decision.
func New(opt Options) *Conductor {
	con := &Conductor{opt: opt, servers: map[registrar.Life]registrar.Server{}}
	con.forget()
	return con
}

// Run carries out decisions while this entry leads, until the context ends.
func (con *Conductor) Run(ctx context.Context) {
	var term context.Context
	resign := func() {}
	for ctx.Err() == nil {
		switch leads := con.opt.IsLeader(); {
		case leads && term == nil:
			con.forget()
			term, resign = context.WithCancel(ctx)
		case !leads && term != nil:
			resign()
			term = nil
		}
		if term != nil {
			if err := con.step(term); err != nil {
				con.opt.Logger.WithError(err).Info("decision on groups put off")
			}
		}
		if con.pause(ctx, stepEvery) != nil {
			break
		}
	}
	resign()
}

// forget drops what an earlier time of leading left.
func (con *Conductor) forget() {
	con.mux.Lock()
	defer con.mux.Unlock()
	con.known = false
	con.formations = map[string]grouper.Formation{}
	con.staging = map[registrar.Life]string{}
	con.busy = map[string]bool{}
	con.dissolving = map[string]bool{}
	con.orders = map[registrar.Life]int64{}
	con.retired = nil
	con.forming = 0
}

// step makes and starts one plan for each service with engines.
func (con *Conductor) step(ctx context.Context) error {
	tab := con.opt.Table()
	if tab == nil {
		return nil
	}
	// One view serves the whole step: a server that is planned with must be known.
	vie := con.opt.View()
	con.noteServers(vie)
	if err := con.load(ctx); err != nil {
		return err
	}
	if err := con.retire(ctx); err != nil {
		return err
	}
	for _, ser := range tab.Services {
		if ser.Engine == nil {
			continue
		}
		if err := con.conduct(ctx, ser, vie); err != nil {
			return err
		}
	}
	return nil
}

func (con *Conductor) noteServers(vie *registrar.View) {
	con.mux.Lock()
	defer con.mux.Unlock()
	for _, ser := range vie.Servers {
		con.servers[ser.Life()] = ser
	}
}

// load reads all decisions when they are not known up to the end.
func (con *Conductor) load(ctx context.Context) error {
	con.mux.Lock()
	known := con.known
	con.mux.Unlock()
	if known {
		return nil
	}
	recs, end, err := con.opt.Records.Newest(ctx)
	if err != nil {
		return errors.Annotate(err, "conductor: read decisions")
	}
	all := map[string]grouper.Formation{}
	for _, rec := range recs {
		if len(rec.Value) == 0 {
			continue
		}
		var frm grouper.Formation
		if err := json.Unmarshal(rec.Value, &frm); err != nil || len(frm.Members) == 0 {
			con.opt.Logger.WithError(err).WithField("group", rec.Name).Warn("decision cannot be read")
			continue
		}
		all[frm.Name] = frm
	}
	con.mux.Lock()
	defer con.mux.Unlock()
	con.formations, con.end, con.known = all, end, true
	con.opt.Logger.WithFields(logrus.Fields{"groups": len(all), "end": end}).Info("decisions read")
	return nil
}

// append adds records at the known end; when that fails all decisions are read again.
func (con *Conductor) append(ctx context.Context, recs []Record) error {
	con.mux.Lock()
	at := con.end
	con.mux.Unlock()
	err := con.opt.Records.Append(ctx, at, recs)
	con.mux.Lock()
	defer con.mux.Unlock()
	if err == nil {
		con.end = at + int64(len(recs))
		return nil
	}
	con.known = con.known && errors.Is(err, ErrRefused)
	return errors.Annotate(err, "conductor: append decisions")
}

// retire records the end of groups that were dissolved.
func (con *Conductor) retire(ctx context.Context) error {
	con.mux.Lock()
	var recs []Record
	for _, name := range con.retired {
		if _, stands := con.formations[name]; stands {
			recs = append(recs, Record{Name: name})
		}
	}
	con.mux.Unlock()
	if len(recs) == 0 {
		return nil
	}
	if err := con.append(ctx, recs); err != nil {
		return err
	}
	con.mux.Lock()
	defer con.mux.Unlock()
	for _, rec := range recs {
		delete(con.formations, rec.Name)
		delete(con.busy, rec.Name)
		delete(con.dissolving, rec.Name)
		con.retired = slices.DeleteFunc(con.retired, func(name string) bool { return name == rec.Name })
	}
	return nil
}

func (con *Conductor) conduct(ctx context.Context, ser router.Service, vie *registrar.View) error {
	plan := grouper.NewPlan(con.picture(ser, vie))
	for _, frm := range plan.Dissolve {
		if con.claim(frm.Name) {
			con.mux.Lock()
			con.dissolving[frm.Name] = true
			con.mux.Unlock()
			go con.dissolve(ctx, frm)
		}
	}
	for _, frm := range plan.Open {
		if con.claim(frm.Name) {
			con.build(ctx, frm, true)
		}
	}
	con.resume(ctx, vie)
	if err := con.form(ctx, ser, plan.Form); err != nil {
		return err
	}
	con.stage(ctx, ser, plan.Stage)
	return nil
}

func (con *Conductor) picture(ser router.Service, vie *registrar.View) grouper.Input {
	con.mux.Lock()
	defer con.mux.Unlock()
	pic := grouper.Input{
		Service: ser.Name, Engine: *ser.Engine, View: vie, BeforeFirstRequest: con.opt.BeforeFirstRequest(),
		Busy: maps.Clone(con.busy), Dissolving: maps.Clone(con.dissolving), Staging: maps.Clone(con.staging), Loads: map[string]grouper.Load{},
	}
	for _, frm := range con.formations {
		pic.Formations = append(pic.Formations, frm)
	}
	for _, mod := range ser.Engine.Models {
		pic.Loads[mod.Name] = con.opt.Loads(ser.Name, mod.Name)
	}
	return pic
}

// claim notes that something is being done with a group; it reports false when that is so already.
func (con *Conductor) claim(name string) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	if con.busy[name] {
		return false
	}
	con.busy[name] = true
	return true
}

func (con *Conductor) unclaim(ctx context.Context, name string) {
	con.mux.Lock()
	defer con.mux.Unlock()
	if ctx.Err() == nil {
		delete(con.busy, name)
	}
}

// build starts to have a group joined, and opened when it is to serve.
func (con *Conductor) build(ctx context.Context, frm grouper.Formation, open bool) {
	con.mux.Lock()
	con.forming++
	con.mux.Unlock()
	go con.complete(ctx, frm, open)
}

// resume goes on with groups that were decided on and are not as they should be yet.
func (con *Conductor) resume(ctx context.Context, vie *registrar.View) {
	con.mux.Lock()
	var waiting []grouper.Formation
	for _, frm := range con.formations {
		done := frm.IsOpen(vie) || frm.Standby && frm.ReadyMembers(vie) == len(frm.Members)
		if !con.busy[frm.Name] && frm.Check(vie) == grouper.Healthy && !done {
			con.busy[frm.Name] = true
			waiting = append(waiting, frm)
		}
	}
	con.mux.Unlock()
	for _, frm := range waiting {
		con.build(ctx, frm, !frm.Standby)
	}
}

// form records the groups that are proposed, all in one append, and starts to build them.
func (con *Conductor) form(ctx context.Context, ser router.Service, proposals []grouper.Proposal) error {
	var recs []Record
	var frms []grouper.Formation
	con.mux.Lock()
	epoch := con.end
	con.mux.Unlock()
	for _, pro := range proposals {
		if !con.mayLoad(ser, pro) {
			continue
		}
		frm := grouper.Formation{Name: fmt.Sprintf("g%d", epoch), Epoch: epoch, Service: ser.Name, Model: pro.Model.Name, Standby: pro.Standby}
		for _, mem := range pro.Members {
			frm.Members = append(frm.Members, mem.Life())
		}
		data, err := json.Marshal(frm)
		if err != nil {
			return errors.Annotate(err, "conductor: encode group")
		}
		recs, frms = append(recs, Record{Name: frm.Name, Value: data}), append(frms, frm)
		epoch++
	}
	if len(recs) == 0 {
		return nil
	}
	if err := con.append(ctx, recs); err != nil {
		return err
	}
	for _, frm := range frms {
		con.mux.Lock()
		con.formations[frm.Name] = frm
		con.busy[frm.Name] = true
		con.mux.Unlock()
		con.opt.Logger.WithFields(logrus.Fields{"group": frm.Name, "epoch": frm.Epoch, "model": frm.Model, "standby": frm.Standby, "members": frm.Members}).Info("group decided")
		con.build(ctx, frm, !frm.Standby)
	}
	return nil
}

// mayLoad keeps the loads from the weight store within what may begin in one window, and counts those that a proposal needs.
func (con *Conductor) mayLoad(ser router.Service, pro grouper.Proposal) bool {
	if con.opt.BeforeFirstRequest() || pro.Loads == 0 {
		return true
	}
	return con.takeLoads(ser, pro.Loads)
}

// loadMargin is the part of the allowed loads that is used, since loads that were ordered late may begin in any window.
const loadMargin = 0.8

func (con *Conductor) takeLoads(ser router.Service, num int) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	now := con.opt.Clock.Now()
	for len(con.loads) > 0 && now.Sub(con.loads[0]) > con.opt.LoadWindow {
		con.loads = con.loads[1:]
	}
	if ser.Engine.LoadsPerSecond > 0 && float64(len(con.loads)+num) > loadMargin*ser.Engine.LoadsPerSecond*con.opt.LoadWindow.Seconds() {
		return false
	}
	for range num {
		con.loads = append(con.loads, now)
	}
	return true
}
