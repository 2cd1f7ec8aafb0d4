package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/reserver"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
)

// Dispatcher allocates slots on backend servers.
type Dispatcher interface {
	Acquire(ctx context.Context, req dispatcher.Request) (*dispatcher.Placement, error)
}

// Sender sends one request to one backend server.
type Sender interface {
	Send(ctx context.Context, req sender.Request) (*sender.Exchange, error)
}

// Budget limits how many requests are retried; Return gives back a retry that was allowed and not sent.
type Budget interface {
	RecordRequest(service string)
	Allow(service string) bool
	Return(service string)
}

// Detector checks the health of units; Suspect requests a check, and Heard reports a sign of life.
type Detector interface {
	CheckUnit(unit string)
	RecordActivity(unit string)
}

// Meter records the outcome and the duration of requests, and the parts of the time to the first event of streams.
type Meter interface {
	RecordRequest(kind router.Kind, outcome string, took time.Duration)
	RecordFirstEvent(pool string, queued, unit time.Duration)
	// RecordForwarded counts a request that is forwarded to another entry, RecordFromEntry one that another entry forwards.
	RecordForwarded()
	RecordFromEntry()
}

// Options configure a Gateway; Table returns nil until a configuration is known.
type Options struct {
	Table      func() *router.Table
	Dispatcher Dispatcher
	Sender     Sender
	// PeerSender sends requests to other entries, which Peers selects while Links are lost; all three may be nil.
	PeerSender Sender
	Links      Links
	Peers      Peers
	Budget     Budget
	Detector   Detector
	Quarantine Quarantine
	// Demand may be nil.
	Demand      Demand
	HeaderCodec HeaderCodec
	Meter       Meter
	// OnLeaving receives the backend servers whose responses say that they leave.
	OnLeaving func(ins registrar.Instance)
	// OnPause receives the backend servers that want no requests for a while.
	OnPause func(ins registrar.Instance, dur time.Duration)
	// OnOutdated reports that callers of this entry were served by a newer configuration than it knows; it may be nil.
	OnOutdated func()
	// OnRateLimit receives the rate limit that a backend server states in a response, or that it states none, and when the request was sent.
	OnRateLimit func(ins registrar.Instance, limited bool, perSecond float64, sentAt time.Time)
	// Started is closed when the first configuration is in force and units are known, and Isolated reports whether this entry has heard no other one; by default it has.
	Started  <-chan struct{}
	Isolated func() bool
	// Reserver counts the memory that is held for callers and units; nil means one with a default budget.
	Reserver *reserver.Reserver
	// UnreadFor is how long a unit's stream may stay unread because its caller reads slowly; 0 means a default.
	UnreadFor time.Duration
	Clock     clockwork.Clock
	Logger    *logrus.Entry
	// Stopping reports whether the entry is shutting down, so that connections are closed after the response, and when it ends.
	Stopping func() (sto Stop, stopping bool)
}

// Gateway is the HTTP handler for the requests of callers; it is safe for concurrent use.
type Gateway struct {
	opt       Options
	requests  *collector.Collector
	responses *collector.Collector
	// durations are those of plain calls, by service.
	durations durations
	// running has the requests that were accepted, as *job.
	running sync.Map
	// ending ends with the time in which a stopping entry answers.
	ending context.Context
	end    context.CancelFunc
	// peerVersion is the newest version of the configuration by which other entries have served callers of this one.
	peerVersion atomic.Int64
	// versionNotedAt is when it was noted, in nanoseconds of Unix time.
	versionNotedAt atomic.Int64
}

// New returns a gateway with the given options.
func New(opt Options) *Gateway {
	if opt.Links == nil {
		opt.Links = noLinks{}
	}
	if opt.Isolated == nil {
		opt.Isolated = func() bool { return false }
	}
	if opt.Reserver == nil {
		opt.Reserver = reserver.New(reserver.Options{})
	}
	if opt.UnreadFor <= 0 {
		opt.UnreadFor = defaultUnreadFor
	}
	if opt.Demand == nil {
		opt.Demand = noDemand{}
	}
	if opt.OnOutdated == nil {
		opt.OnOutdated = func() {}
	}
	ending, end := context.WithCancel(context.Background())
	return &Gateway{
		opt: opt, ending: ending, end: end, requests: collector.NewWithin(math.MaxInt64, opt.Reserver.Account(reserver.Requests)),
		responses: collector.NewWithin(collector.MaxBodyBytes, opt.Reserver.Account(reserver.Responses)),
	}
}

// PoolName returns the name of the pool of a service's units; a service with several models has one pool for each model.
func PoolName(service, model string) string {
	if model == "" {
		return service
	}
	return service + "/" + model
}

// job is the state of one request while the gateway handles it.
type job struct {
	gat      *Gateway
	req      *http.Request
	wtr      http.ResponseWriter
	cal      Call
	tab      *router.Table
	rou      router.Route
	ser      router.Service
	wsp      router.Workspace
	target   string
	body     []byte
	arrived  time.Time
	deadline time.Time
	log      *logrus.Entry
	// sends counts the backend servers that received the request, mayHaveRun those of them that may have run it.
	sends      int
	mayHaveRun int
	// tried lists the IDs of the units that the request was already tried on.
	tried []string
	// spoilt is the unit whose kept connection gave no response to the request, and reconnect the unit that gets the request once more on a new connection; they are empty if there is none.
	spoilt    string
	reconnect string
	// queued is how long the request has waited for slots.
	queued time.Duration
	// subjects identify the request and what it has in common with others.
	subjects []string
	// brokeAt is the unit of the last attempt if the request broke off there before it proved sound.
	brokeAt string
	// trial means that the request runs in spite of a quarantine, and quarantined is the key of the verdict that refuses it.
	trial       bool
	quarantined string
	// forwarded is the state of a request that another entry has forwarded, nil otherwise.
	forwarded *forwardState
	// counted says that the request counts in the retry budget.
	counted bool
	// bodies are held until the request ends.
	bodies bodyList
	// outlastEnd has the request go on after the end of the gateway.
	outlastEnd func() bool
	// inDemand says that this entry has recorded the request in the demand.
	inDemand bool
}

// ServeHTTP proxies one request of a caller.
func (gat *Gateway) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	gat.serve(wtr, req, nil)
}

// serve proxies one request, which another entry may have forwarded.
func (gat *Gateway) serve(wtr http.ResponseWriter, req *http.Request, sta *forwardState) {
	job := &job{gat: gat, req: req, wtr: wtr, cal: gat.opt.HeaderCodec.ParseCall(req), arrived: gat.opt.Clock.Now()}
	job.log = gat.opt.Logger.WithField("request", job.cal.ID)
	if sta != nil {
		job.continueForwarded(sta)
	}
	if _, stopping := gat.opt.Stopping(); stopping {
		wtr.Header().Set("Connection", "close")
	}
	defer job.releaseBodies()
	job.limitBody(unknownBodyTimeout)
	if err := job.prepare(); err != nil {
		job.refuse(err)
		return
	}
	defer job.noteRunning()()
	job.identify()
	if !job.counted && (job.forwarded != nil || !job.linksLost()) {
		gat.opt.Budget.RecordRequest(job.ser.Name)
		job.counted = true
		job.recordDemand()
	}
	ctx, cancel := context.WithDeadline(req.Context(), job.deadline)
	defer cancel()
	job.outlastEnd = context.AfterFunc(gat.ending, cancel)
	defer job.outlastEnd()
	if job.rou.Kind == router.Stream {
		job.serveStream(ctx)
		return
	}
	job.servePlain(ctx)
}

// limitWrites ends writes to a caller that does not read, also those after the handler has returned. The server sets its own limit for the next request on the connection.
func (job *job) limitWrites() {
	if err := http.NewResponseController(job.wtr).SetWriteDeadline(job.deadline.Add(writeMargin)); err != nil {
		job.log.WithError(err).Debug("failed to set the write deadline")
	}
}

// prepare determines the route, the workspace, the service and the deadline, and reads the body.
func (job *job) prepare() error {
	job.tab = job.gat.opt.Table()
	if job.tab == nil {
		if err := job.awaitConfig(); err != nil {
			return err
		}
	}
	if err := job.checkVersion(); err != nil {
		return err
	}
	if job.cal.ID == "" {
		return refuser.Invalid("the request has no ID")
	}
	if err := job.lookUpCurrent(); err != nil {
		return err
	}
	job.setDeadline()
	job.limitWrites()
	if why := job.gat.opt.Reserver.Admit(); why != "" {
		return elsewhere("the memory of this entry is in use: "+string(why), retryAfterNoMemory)
	}
	if err := job.readBody(); err != nil {
		return err
	}
	return job.checkStopping()
}

// lookUp finds the route, the workspace and the service of the request.
func (job *job) lookUp() error {
	if err := job.findRoute(); err != nil {
		return err
	}
	if err := job.authenticate(); err != nil {
		return err
	}
	ser, found := job.tab.Target(job.rou, job.cal.ID)
	if !found {
		return refuser.NotRun("no service has a share of route "+job.rou.Name, refuser.DefaultRetryAfter)
	}
	job.ser = ser
	return nil
}

func (job *job) setDeadline() {
	wait := job.rou.Timeout
	if job.cal.Timeout > 0 && (wait <= 0 || job.cal.Timeout < wait) {
		wait = job.cal.Timeout
	}
	job.deadline = job.arrived.Add(wait)
}

func (job *job) findRoute() error {
	job.target = job.req.RequestURI
	if !strings.HasPrefix(job.target, "/") {
		job.target = job.req.URL.RequestURI()
	}
	path, _, _ := strings.Cut(job.target, "?")
	rou, found := job.tab.Match(job.req.Host, path)
	if !found {
		return refuser.NotFound("no route")
	}
	job.rou = rou
	return nil
}

func (job *job) authenticate() error {
	if job.rou.Public || !job.tab.HasWorkspaces() {
		return nil
	}
	wsp, known := job.tab.Workspace(job.cal.Key)
	if job.cal.Key == "" || !known {
		return refuser.Unauthorized("the API key is unknown")
	}
	job.wsp = wsp
	return nil
}

// readBody reads the whole body, so that the request can be retried on another backend server.
func (job *job) readBody() error {
	if job.headerBytes() > job.tab.Limits.HeaderBytes && job.tab.Limits.HeaderBytes > 0 {
		return refuser.HeadersTooLarge("the headers are too large")
	}
	limit := job.tab.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if job.req.ContentLength > limit {
		return refuser.TooLarge("the body is too large")
	}
	body, err := job.readByDeadline(http.MaxBytesReader(job.wtr, job.req.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuser.TooLarge("the body is too large")
	case errors.Is(err, collector.ErrNoRoom):
		return elsewhere("the memory of this entry is in use: "+string(reserver.HeldBytes), retryAfterNoMemory)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuser.RequestTimeout("the body was not received before the request's deadline")
	case err != nil:
		return refuser.Invalid("the body could not be read: " + err.Error())
	}
	job.body = body
	return nil
}

// readByDeadline reads the body with the request's deadline as read deadline, and clears the read deadline for later requests on the connection.
func (job *job) readByDeadline(src io.Reader) ([]byte, error) {
	if job.req.ContentLength == 0 {
		return nil, nil
	}
	ctl := http.NewResponseController(job.wtr)
	if err := ctl.SetReadDeadline(job.deadline); err != nil {
		return nil, errors.Annotate(err, "gateway: set read deadline for the body")
	}
	body, err := job.gat.requests.ReadBody(src, job.req.ContentLength)
	if err != nil {
		return nil, err
	}
	job.keep(body)
	data, err := body.Join()
	if err != nil {
		return nil, err
	}
	return data, errors.Annotate(ctl.SetReadDeadline(time.Time{}), "gateway: clear read deadline of the connection")
}

func (job *job) headerBytes() int {
	sum := len(job.req.RequestURI)
	for name, vals := range job.req.Header {
		for _, val := range vals {
			sum += len(name) + len(val)
		}
	}
	return sum
}

// pool returns the name of the pool whose units can serve the request.
func (job *job) pool() string {
	if job.ser.Engine == nil {
		return PoolName(job.ser.Name, "")
	}
	return PoolName(job.ser.Name, job.cal.Model)
}

// acquire allocates a slot on a unit that the request was not tried on yet, unless the request is quarantined or may outlast a stopping entry, be it while it waits; another entry checks the quarantine itself. It counts how long the request waited.
func (job *job) acquire(ctx context.Context) (*dispatcher.Placement, error) {
	if err := job.checkStopping(); err != nil {
		return nil, err
	}
	if !job.linksLost() {
		if err := job.checkQuarantine(); err != nil {
			return nil, err
		}
	}
	began := job.gat.opt.Clock.Now()
	pla, err := job.placeNext(ctx)
	job.queued += job.gat.opt.Clock.Since(began)
	if err != nil {
		return nil, err
	}
	err = job.checkStopping()
	if err == nil && pla.Unit.Entry == "" {
		err = job.checkQuarantine()
	}
	if err != nil {
		pla.Release(dispatcher.Outcome{Result: dispatcher.Neutral})
		return nil, err
	}
	return pla, nil
}

// placeNext allocates a slot on a unit that the request was not tried on yet. If there is none, a unit whose kept connection was spoilt gets it once more on a new one.
func (job *job) placeNext(ctx context.Context) (*dispatcher.Placement, error) {
	opt := placeOptions{exclude: job.tried, resumed: job.mayHaveRun > 0}
	pla, err := job.place(ctx, opt)
	if err == nil || job.spoilt == "" {
		return pla, err
	}
	again := job.spoilt
	opt.exclude = slices.DeleteFunc(slices.Clone(job.tried), func(unit string) bool { return unit == again })
	job.spoilt, job.reconnect = "", again
	return job.place(ctx, opt)
}

// noteSpoilt records a unit whose kept connection gave no response to the request; foreign says that it gave another one.
func (job *job) noteSpoilt(uni dispatcher.Unit, foreign bool, err error) {
	if errors.Is(err, sender.ErrSpoilt) || foreign && errors.Is(err, sender.ErrLost) {
		job.spoilt = uni.ID
	}
}

// placeOptions says which units must not get a request, whether it has run in part, and whether only a slot that is free at once will do.
type placeOptions struct {
	exclude []string
	resumed bool
	atOnce  bool
}

// place allocates a slot, or selects another entry while this one reaches no backend server. A hedge can call it beside an attempt.
func (job *job) place(ctx context.Context, opt placeOptions) (*dispatcher.Placement, error) {
	if job.linksLost() {
		return job.placeAtPeer(opt)
	}
	pla, err := job.allocate(ctx, opt)
	if err != nil && job.linksLost() {
		return job.placeAtPeer(opt)
	}
	return pla, err
}

// placeElsewhere allocates a slot for a request to which a unit is silent. If no other unit can take it and nothing has come on a kept connection, the same unit gets it once more if it has a free slot: only the connection may be silent.
func (job *job) placeElsewhere(ctx context.Context, opt placeOptions, silent dispatcher.Unit, unproven bool) (*dispatcher.Placement, error) {
	pla, err := job.place(ctx, opt)
	if err == nil || !unproven {
		return pla, err
	}
	opt.exclude = slices.DeleteFunc(slices.Clone(opt.exclude), func(unit string) bool { return unit == silent.ID })
	opt.atOnce = true
	return job.place(ctx, opt)
}

func (job *job) allocate(ctx context.Context, opt placeOptions) (*dispatcher.Placement, error) {
	return job.gat.opt.Dispatcher.Acquire(ctx, job.slotRequest(opt))
}

// slotRequest returns the request for a slot.
func (job *job) slotRequest(opt placeOptions) dispatcher.Request {
	now := job.gat.opt.Clock.Now()
	cost := job.expectedWork()
	objective := job.arrived.Add(job.rou.Objective)
	startBy := now.Add(time.Duration(float64(job.rou.Objective) * queueWaitShare))
	if opt.resumed {
		startBy = now.Add(resumedQueueWait)
	}
	if opt.atOnce {
		startBy = now
	}
	if latest := job.deadline.Add(-cost); latest.Before(startBy) {
		startBy = latest
	}
	req := dispatcher.Request{
		ID: job.cal.ID, Pool: job.pool(), Workspace: job.wsp.Name,
		Priority: job.tab.Priority(job.rou, job.wsp), Resumed: opt.resumed,
		Cost:    cost.Seconds() * costPerSecond,
		Size:    job.size(),
		StartBy: startBy, Deadline: job.deadline, Exclude: opt.exclude, Objective: objective,
		Late: now.After(objective) || job.cal.Timeout > 0 && job.cal.Timeout < job.rou.Timeout-job.rou.Objective,
	}
	if job.ser.Engine != nil {
		req.MemoryTokens = max(0, job.cal.PromptTokens) + max(0, job.cal.AnswerTokens)
		req.Objective, req.FirstEventWithin, req.MaxEventGap = objective, job.rou.Objective, job.rou.MaxEventGap
		if !opt.resumed && !opt.atOnce {
			req.HoldUntil = objective
			req.LatestStart = job.arrived.Add(waitObjectives * job.rou.Objective)
			if latest := job.deadline.Add(-stopWorkFactor * cost); latest.Before(req.LatestStart) {
				req.LatestStart = latest
			}
		}
	}
	return req
}

// size returns the size of a generation in tokens. The length of the answer is what callers expect, or else the most that they take.
func (job *job) size() estimator.Request {
	if job.ser.Engine == nil {
		return estimator.Request{}
	}
	out := estimator.Request{PromptTokens: job.cal.PromptTokens, AnswerTokens: job.cal.AnswerTokens}
	if job.cal.LengthHint > 0 {
		out.AnswerTokens = min(job.cal.LengthHint, max(out.AnswerTokens, 1))
	}
	return out
}

// expectedWork estimates how long a unit needs to run the request.
func (job *job) expectedWork() time.Duration {
	if job.ser.Engine == nil {
		return plainCallWork
	}
	return job.engineWork(job.size(), job.ser.Engine.Slots/2)
}

// engineWork estimates how long a unit needs to run a generation beside a number of others.
func (job *job) engineWork(siz estimator.Request, others int) time.Duration {
	eng := job.ser.Engine
	pace := 1.0
	for _, mod := range eng.Models {
		if mod.Name == job.cal.Model {
			pace = mod.TimeFactor
		}
	}
	read := float64(siz.PromptTokens) / max(1, eng.PromptTokensPerSecond)
	write := float64(siz.AnswerTokens) * (eng.Step + time.Duration(others)*eng.StepPerRequest).Seconds()
	return time.Duration((read + write) * pace * float64(time.Second))
}

// parseResponse classifies the response of a unit to a request sent at a time, and reports a backend server that leaves, wants a pause or limits the rate of requests.
func (job *job) parseResponse(pla *dispatcher.Placement, res *http.Response, sentAt time.Time) ResponseInfo {
	if pla.Unit.Entry != "" {
		return job.parsePeerResponse(pla, res)
	}
	ver := job.gat.opt.HeaderCodec.ParseResponse(job.cal, res)
	job.markResponse(res.Header, pla.Unit)
	if !ver.Concerns(pla.Unit.ServerID) {
		return ver
	}
	if ver.Leaving {
		job.gat.opt.OnLeaving(pla.Unit.Instance())
	}
	if ver.PauseFor > 0 {
		job.gat.opt.OnPause(pla.Unit.Instance(), ver.PauseFor)
	}
	if ver.Limited || ver.Verified {
		job.gat.opt.OnRateLimit(pla.Unit.Instance(), ver.Limited, ver.RateLimit, sentAt)
	}
	return ver
}

// buildRequest returns the request to a unit. The counts are those of the attempts before. One that may have run before is sent on a new connection, since many kept ones may die unnoticed at the same time.
func (job *job) buildRequest(pla *dispatcher.Placement, after string, sends, runs int) sender.Request {
	hop := Hop{ServerID: pla.Unit.ServerID, Workspace: job.wsp.Name, Timeout: job.gat.opt.Clock.Until(job.deadline), LastEventID: after, Urgency: job.tab.Urgency(job.ser.Name, job.tab.Priority(job.rou, job.wsp))}
	var head http.Header
	if pla.Unit.Entry == "" {
		head = job.gat.opt.HeaderCodec.RequestHeader(job.req.Header, job.cal, hop)
	} else {
		head = job.gat.opt.HeaderCodec.EntryHeader(job.req.Header, job.cal, hop)
		sta := forwardState{age: job.gat.opt.Clock.Since(job.arrived), sends: sends, runs: runs, counted: job.counted, version: max(job.tab.Version, job.gat.peerVersion.Load())}
		head.Set(forwardedHeader, sta.encode())
		// A kept connection may die unnoticed, and a request on it would wait for nothing.
		head.Set("Connection", "close")
	}
	return sender.Request{
		Address: pla.Unit.Address, PoolKey: pla.Unit.Address + "/" + pla.Unit.ServerID, Method: job.req.Method, Target: job.target,
		Host: job.req.Host, Header: head, Body: job.body, NewConnection: !job.rou.Repeatable() || pla.Unit.Entry != "" || pla.Unit.ID == job.reconnect || runs > 0, Withdrawn: pla.Withdrawn,
	}
}

// send sends the request to a backend server or to another entry.
func (job *job) send(ctx context.Context, pla *dispatcher.Placement, req sender.Request) (*sender.Exchange, error) {
	if pla.Unit.Entry == "" {
		return job.gat.opt.Sender.Send(ctx, req)
	}
	job.gat.opt.Meter.RecordForwarded()
	return job.gat.opt.PeerSender.Send(ctx, req)
}
