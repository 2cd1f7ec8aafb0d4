package conductor

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// stepInterval is the pause between two steps of the control loop.
const stepInterval = 60 * time.Millisecond

// ErrConflict means that the end of the records is not the offset given to Append, so another entry has appended a decision.
const ErrConflict = errors.ConstError("records have another end")

// ErrRefused means that the store rejected an append and appended nothing.
const ErrRefused = errors.ConstError("append was refused")

// Record is the latest decision on the group Name. An empty Value means that the group has ended.
type Record struct {
	Name  string
	Value []byte
}

// Position is the end of the records. An era begins when the store has lost records that it had acknowledged, and offsets are given out again.
type Position struct {
	Era    int64
	Offset int64
}

// Records stores the latest decision on each group. Append fails with ErrConflict, ErrRefused, or another error when its outcome is unknown. Check fails with ErrConflict unless the records end at the position at.
type Records interface {
	Newest(ctx context.Context) (recs []Record, end Position, err error)
	Check(ctx context.Context, at Position) error
	Append(ctx context.Context, at Position, recs []Record) error
}

// Meter records the supply of a model in replica groups.
type Meter interface {
	RecordModel(service string, sta grouper.ModelState)
}

// Options configures a conductor. LoadWindow is the period over which loads from the weight store are counted.
type Options struct {
	Records  Records
	Engines  EngineClient
	View     func() *registrar.View
	Table    func() *router.Table
	IsLeader func() bool
	Loads    func(service, model string) grouper.Load
	// Forecast returns the work that callers ask of a model; false means that it is unknown. It may be nil.
	Forecast           func(service, model string) (forecaster.Forecast, bool)
	BeforeFirstRequest func() bool
	// Ended receives the instances of servers that were found to have ended.
	Ended      func(ins registrar.Instance)
	Meter      Meter
	Clock      clockwork.Clock
	Logger     *logrus.Entry
	LoadWindow time.Duration
}

// Conductor carries out decisions on replica groups. Its methods other than Run are only for its own goroutines.
type Conductor struct {
	opt Options

	// recordsMux is held during an append and during a check of the records. It is locked before mux.
	recordsMux sync.Mutex

	mux sync.Mutex
	// outdated is set when the decisions must be loaded again, in a new term.
	outdated   bool
	nextCheck  *confirmation
	lastCheck  time.Time
	formations map[string]grouper.Formation
	loaded     bool
	end        Position
	staging    map[registrar.Instance]string
	busy       map[string]bool
	dissolving map[string]bool
	retired    []string
	// ended holds the groups whose end was decided in this term, unknownSince when groups without a decision were first seen.
	ended        map[string]bool
	unknownSince map[string]time.Time
	orderCounts  map[registrar.Instance]int64
	orderedAt    map[registrar.Instance]time.Time
	servers      map[registrar.Instance]registrar.Server
	lastListed   map[registrar.Instance]time.Time
	loadStarts   []time.Time
	forming      int
	// losses counts the servers lost lately by service.
	losses map[string]lossCount
	// supply holds the state of each service's models in the last plan.
	supply map[string][]grouper.ModelState
}

// New returns a conductor that has loaded no decisions.
func New(opt Options) *Conductor {
	if opt.Forecast == nil {
		opt.Forecast = func(string, string) (forecaster.Forecast, bool) { return forecaster.Forecast{}, false }
	}
	con := &Conductor{opt: opt, servers: map[registrar.Instance]registrar.Server{}, lastListed: map[registrar.Instance]time.Time{}, supply: map[string][]grouper.ModelState{}}
	con.reset()
	return con
}

// Run carries out decisions while this entry is the leader, until the context ends.
func (con *Conductor) Run(ctx context.Context) {
	var term context.Context
	resign := func() {}
	for ctx.Err() == nil {
		leads := con.opt.IsLeader()
		if term != nil && (!leads || con.isOutdated()) {
			resign()
			term = nil
		}
		if leads && term == nil {
			con.reset()
			term, resign = context.WithCancel(ctx)
		}
		if term != nil {
			if err := con.step(term); err != nil {
				con.opt.Logger.WithError(err).Info("group decisions postponed to the next step")
			}
		}
		if con.sleep(ctx, stepInterval) != nil {
			break
		}
	}
	resign()
}

// reset discards the state of an earlier term as leader.
func (con *Conductor) reset() {
	con.mux.Lock()
	defer con.mux.Unlock()
	con.loaded, con.outdated, con.nextCheck = false, false, nil
	con.formations = map[string]grouper.Formation{}
	con.staging = map[registrar.Instance]string{}
	con.busy = map[string]bool{}
	con.dissolving = map[string]bool{}
	con.orderCounts = map[registrar.Instance]int64{}
	con.orderedAt = map[registrar.Instance]time.Time{}
	con.retired = nil
	con.ended = map[string]bool{}
	con.unknownSince = map[string]time.Time{}
	con.losses = map[string]lossCount{}
	con.forming = 0
}

// step makes a plan for each service with engines and starts its operations.
func (con *Conductor) step(ctx context.Context) error {
	tab := con.opt.Table()
	if tab == nil {
		return nil
	}
	// All of a step uses one view, so that every server in a plan is in con.servers.
	vie := con.opt.View()
	con.rememberServers(vie)
	if err := con.loadDecisions(ctx); err != nil {
		return err
	}
	if err := con.recordRetired(ctx); err != nil {
		return err
	}
	for _, ser := range tab.Services {
		if ser.Engine == nil {
			continue
		}
		con.countLosses(ser, vie)
		if err := con.runPlan(ctx, ser, vie); err != nil {
			return err
		}
	}
	return nil
}

func (con *Conductor) rememberServers(vie *registrar.View) {
	con.mux.Lock()
	defer con.mux.Unlock()
	now := con.opt.Clock.Now()
	for _, ser := range vie.Servers {
		con.servers[ser.Instance()] = ser
		con.lastListed[ser.Instance()] = now
	}
}

// loadDecisions reads all decisions unless they are loaded up to the end of the records.
func (con *Conductor) loadDecisions(ctx context.Context) error {
	con.mux.Lock()
	loaded := con.loaded
	con.mux.Unlock()
	if loaded {
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
			con.opt.Logger.WithError(err).WithField("group", rec.Name).Warn("skipping a group decision that cannot be decoded")
			continue
		}
		all[frm.Name] = frm
	}
	con.mux.Lock()
	defer con.mux.Unlock()
	con.formations, con.end, con.loaded = all, end, true
	con.opt.Logger.WithFields(logrus.Fields{"groups": len(all), "era": end.Era, "end": end.Offset}).Info("group decisions loaded")
	return nil
}

// appendRecords appends at the known end of the records. A failure other than ErrRefused ends the term.
func (con *Conductor) appendRecords(ctx context.Context, recs []Record) error {
	con.recordsMux.Lock()
	defer con.recordsMux.Unlock()
	con.mux.Lock()
	at := con.end
	con.mux.Unlock()
	err := con.opt.Records.Append(ctx, at, recs)
	if err == nil {
		con.mux.Lock()
		con.end.Offset = at.Offset + int64(len(recs))
		con.mux.Unlock()
		return nil
	}
	if !errors.Is(err, ErrRefused) {
		con.endTerm()
	}
	return errors.Annotate(err, "conductor: append decisions")
}

// recordRetired records the end of dissolved groups.
func (con *Conductor) recordRetired(ctx context.Context) error {
	con.mux.Lock()
	var recs []Record
	con.retired = slices.DeleteFunc(con.retired, func(name string) bool {
		_, found := con.formations[name]
		return !found
	})
	for _, name := range con.retired {
		if _, found := con.formations[name]; found {
			recs = append(recs, Record{Name: name})
		}
	}
	con.mux.Unlock()
	if len(recs) == 0 {
		return nil
	}
	if err := con.appendRecords(ctx, recs); err != nil {
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

func (con *Conductor) runPlan(ctx context.Context, ser router.Service, vie *registrar.View) error {
	plan := grouper.NewPlan(con.planInput(ser, vie))
	con.recordSupply(ser.Name, plan.Models)
	for _, frm := range plan.Dissolve {
		if con.markBusy(frm.Name) {
			con.mux.Lock()
			con.dissolving[frm.Name] = true
			con.mux.Unlock()
			go con.dissolve(ctx, frm)
		}
	}
	for _, frm := range plan.Retire {
		if con.markBusy(frm.Name) {
			con.retire(frm.Name)
		}
	}
	if err := con.adopt(ctx, ser, plan.Unknown); err != nil {
		return err
	}
	for _, frm := range plan.Open {
		if con.markBusy(frm.Name) {
			con.startForming(ctx, frm, true)
		}
	}
	con.resumeForming(ctx, vie)
	if err := con.formProposed(ctx, ser, plan.Form); err != nil {
		return err
	}
	con.stage(ctx, ser, plan.Stage)
	return nil
}

// recordSupply records the supply of each model, and logs it when the number of its groups or its target has changed.
func (con *Conductor) recordSupply(service string, states []grouper.ModelState) {
	old := con.supply[service]
	con.supply[service] = states
	for num, sta := range states {
		con.opt.Meter.RecordModel(service, sta)
		if num < len(old) && old[num].Model == sta.Model && old[num].Groups == sta.Groups && old[num].Target == sta.Target {
			continue
		}
		con.opt.Logger.WithFields(logrus.Fields{
			"service": service, "model": sta.Model, "groups": sta.Groups, "target": sta.Target, "needed": sta.Needed, "idle_servers": sta.Idle,
			"slots": sta.Load.Slots, "in_use": sta.Load.InUse, "waiting": sta.Load.Waiting, "zones": sta.Zones, "lost_servers": con.losses[service].count,
			"prompt_tokens_per_second": int(sta.Demand.PromptTokens), "answer_tokens_per_second": int(sta.Demand.AnswerTokens), "utilization": sta.Utilization,
		}).Info("supply of a model changed")
	}
}

func (con *Conductor) planInput(ser router.Service, vie *registrar.View) grouper.Input {
	con.mux.Lock()
	defer con.mux.Unlock()
	inp := grouper.Input{
		Service: ser.Name, Engine: *ser.Engine, View: vie, Era: con.end.Era, BeforeFirstRequest: con.opt.BeforeFirstRequest(),
		Busy: maps.Clone(con.busy), Dissolving: maps.Clone(con.dissolving), Ended: maps.Clone(con.ended), Staging: maps.Clone(con.staging), Loads: map[string]grouper.Load{}, Forecasts: map[string]forecaster.Forecast{}, Lost: con.losses[ser.Name].count,
	}
	for _, frm := range con.formations {
		inp.Formations = append(inp.Formations, frm)
	}
	for _, mod := range ser.Engine.Models {
		inp.Loads[mod.Name] = con.opt.Loads(ser.Name, mod.Name)
		if fco, known := con.opt.Forecast(ser.Name, mod.Name); known {
			inp.Forecasts[mod.Name] = fco
		}
	}
	return inp
}

// markBusy marks a group as having an operation in progress. It reports false when one is in progress already.
func (con *Conductor) markBusy(name string) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	if con.busy[name] {
		return false
	}
	con.busy[name] = true
	return true
}

func (con *Conductor) clearBusy(ctx context.Context, name string) {
	con.mux.Lock()
	defer con.mux.Unlock()
	if ctx.Err() == nil {
		delete(con.busy, name)
	}
}

// startForming starts to join the members of a group, and to open it if it is to serve.
func (con *Conductor) startForming(ctx context.Context, frm grouper.Formation, open bool) {
	con.mux.Lock()
	con.forming++
	con.mux.Unlock()
	go con.formGroup(ctx, frm, open)
}

// resumeForming continues forming the recorded groups that are healthy but not finished, which means open, or ready for a standby group. A group that was decided before the store lost records is not opened: its members join another one once they are ready.
func (con *Conductor) resumeForming(ctx context.Context, vie *registrar.View) {
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
		con.startForming(ctx, frm, !frm.Standby && frm.Era == con.era())
	}
}

// formProposed records the proposed groups in a single append and starts to form them.
func (con *Conductor) formProposed(ctx context.Context, ser router.Service, proposals []grouper.Proposal) error {
	var recs []Record
	var frms []grouper.Formation
	epoch := con.nextEpoch()
	for _, pro := range proposals {
		if !con.canLoad(ser, pro) {
			continue
		}
		frm := grouper.Formation{Name: con.groupName(epoch), Epoch: epoch, Era: con.era(), Service: ser.Name, Model: pro.Model.Name, Standby: pro.Standby}
		for _, mem := range pro.Members {
			frm.Members = append(frm.Members, mem.Instance())
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
	if err := con.appendRecords(ctx, recs); err != nil {
		return err
	}
	for _, frm := range frms {
		con.mux.Lock()
		con.formations[frm.Name] = frm
		con.busy[frm.Name] = true
		con.mux.Unlock()
		con.opt.Logger.WithFields(logrus.Fields{"group": frm.Name, "epoch": frm.Epoch, "model": frm.Model, "standby": frm.Standby, "members": frm.Members}).Info("group decided")
		con.startForming(ctx, frm, !frm.Standby)
	}
	return nil
}

// canLoad reports whether the loads of a proposal fit into the limit for one window, and reserves them if so.
func (con *Conductor) canLoad(ser router.Service, pro grouper.Proposal) bool {
	if con.opt.BeforeFirstRequest() || pro.Loads == 0 {
		return true
	}
	return con.reserveLoads(ser, pro.Loads)
}

// loadMargin is the share of the allowed loads that is used, since delayed orders may begin their loads in any window.
const loadMargin = 0.8

func (con *Conductor) reserveLoads(ser router.Service, num int) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	now := con.opt.Clock.Now()
	for len(con.loadStarts) > 0 && now.Sub(con.loadStarts[0]) > con.opt.LoadWindow {
		con.loadStarts = con.loadStarts[1:]
	}
	if ser.Engine.LoadsPerSecond > 0 && float64(len(con.loadStarts)+num) > loadMargin*ser.Engine.LoadsPerSecond*con.opt.LoadWindow.Seconds() {
		return false
	}
	for range num {
		con.loadStarts = append(con.loadStarts, now)
	}
	return true
}
