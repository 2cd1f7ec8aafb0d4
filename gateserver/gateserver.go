package gateserver

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/acceptor"
	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/budgeter"
	"github.com/lovagelever/lovagelever/compressor"
	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/confirmer"
	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/drainer"
	"github.com/lovagelever/lovagelever/elector"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/gateconfigurer"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/investigator"
	"github.com/lovagelever/lovagelever/linkchecker"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/nominator"
	"github.com/lovagelever/lovagelever/peerpicker"
	"github.com/lovagelever/lovagelever/permitter"
	"github.com/lovagelever/lovagelever/pruner"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/reserver"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
	"github.com/lovagelever/lovagelever/sharer"
	"github.com/lovagelever/lovagelever/stamper"
	"github.com/lovagelever/lovagelever/tailer"
)

const (
	// dialTimeout limits connecting to a backend server: round trips take up to 6 ms, and a lost SYN packet is retransmitted after 1 s.
	dialTimeout = 700 * time.Millisecond
	// leaseTTL is the time to live of the leader's lease unless the store demands a longer one.
	leaseTTL = 1500 * time.Millisecond
	// unwrittenConfigTTL is how long a record of the operator is in force that the store has lost with an older copy, unless the operator writes it again.
	unwrittenConfigTTL = time.Minute
	// unwrittenServerTTL is how long a backend server is listed that the store has lost with an older copy; servers write with their next heartbeat.
	unwrittenServerTTL = 5 * time.Second
	// unwrittenEntryTTL is the same for the registration of an entry.
	unwrittenEntryTTL = 30 * time.Second
	// registerSpread is the time over which entries distribute their calls to register again.
	registerSpread = time.Second
	// maxPause bounds the pause that a backend server may ask for.
	maxPause = time.Hour
	// tickInterval is the interval at which expiring state is checked.
	tickInterval = 20 * time.Millisecond
	// sweepTicks is the number of ticks between sweeps of idle connections.
	sweepTicks = 50
	// memoryTicks is the number of ticks between looks at the memory of the process.
	memoryTicks = 5
)

// Server is one entry with its components.
type Server struct {
	set gateconfigurer.Settings
	pla Platform
	clk clockwork.Clock
	log *logrus.Entry

	reg *registrar.Registrar
	dis *dispatcher.Dispatcher
	bud *budgeter.Budgeter
	sen *sender.Sender
	det *detector.Detector
	adv *advertiser.Advertiser
	hea *heartbeater.Heartbeater
	ele *elector.Elector
	con *conductor.Conductor
	gat *gateway.Gateway
	mes *messenger.Messenger
	nom *nominator.Nominator
	mtr *meter
	qua *quarantiner.Quarantiner
	inv *investigator.Investigator
	com *compressor.Compressor
	lim *ratelimiter.RateLimiter
	sha *sharer.Sharer
	per *permitter.Permitter
	lin *linkchecker.Checker
	res *reserver.Reserver
	pic *peerpicker.Picker
	dra *drainer.Drainer
	frc *forecaster.Forecaster
	pru *pruner.Pruner
	cfm *confirmer.Confirmer
	stm *stamper.Stamper
	acc *acceptor.Acceptor
	// peerSender sends requests to other entries.
	peerSender *sender.Sender

	tailers map[string]*tailer.Tailer
	tab     atomic.Pointer[router.Table]
	// unitsKnown is closed when the first configuration is in force and units are known.
	unitsKnown chan struct{}
	knowsUnits sync.Once
	units      atomic.Pointer[unitTable]
	bounds     atomic.Pointer[gateconfigurer.Bounds]
	stopping   atomic.Bool
	// registered is the last registration of this entry that the store has accepted.
	registered atomic.Pointer[registration]
	// listed is what the topic of the entries has under the name of this entry, contests how often that was of a higher incarnation at the same addresses; only OnChange of the topic uses contests.
	listed   atomic.Pointer[listing]
	contests int
	// unregistered receives an element when the registration of this entry is lost.
	unregistered chan struct{}
	stop         atomic.Pointer[gateway.Stop]
	sawRequest   atomic.Bool
	rpcBytes     counter.Counter
	heartbeatSeq atomic.Uint64
	totalsSeq    atomic.Uint64
	// totalWork is the last known work of all other entries by unit; only the goroutine that receives datagrams uses it.
	totalWork map[string]estimator.Work
	// workPeers maps the other entries to whether they exchange work in tokens.
	workPeers sync.Map
	// silent is what a collector has said about which entries are silent.
	silent atomic.Pointer[silentEntries]
	// lastCollected is when this entry last collected loads, collectsSince since when it has done so without a break.
	lastCollected atomic.Pointer[time.Time]
	collectsSince atomic.Pointer[time.Time]
	// peerCount is how many entries receive heartbeats.
	peerCount atomic.Int64
	self      advertiser.Entry
	zonesOut  sync.Map
	// unusable maps the keys of records of backend servers that cannot be used to why.
	unusable      sync.Map
	upToDatePeers sync.Map
	// lateHeartbeats maps entries to when it was last logged that their heartbeats are late.
	lateHeartbeats sync.Map
	// newsFrom maps each topic to the entry that last said that it knows newer records.
	newsFrom sync.Map
	// otherLeader is the other entry that last said that it is the leader.
	otherLeader atomic.Pointer[leaderState]
	started     time.Time
	// farBytes counts the bytes of requests to backend servers in other availability zones and of their answers.
	farBytes atomic.Int64
}

// New creates an entry; it fails with errors.NotValid if an address of the settings cannot be parsed.
func New(set gateconfigurer.Settings, pla Platform, clk clockwork.Clock, log *logrus.Entry) (*Server, error) {
	source := net.ParseIP(set.Address)
	if source == nil {
		return nil, errors.NotValidf("gateserver: address %q", set.Address)
	}
	gat := &Server{set: set, pla: pla, clk: clk, log: log, mtr: newMeter(), com: compressor.New(), dra: drainer.New(), unitsKnown: make(chan struct{}), unregistered: make(chan struct{}, 1), tailers: map[string]*tailer.Tailer{}}
	gat.self = advertiser.Entry{
		Name: set.Name, Zone: set.Zone, CallerAddress: set.Listen.Callers, EntryAddress: set.Listen.Entries,
		Region: set.Region, ForwardingAddress: set.Listen.Forwarding, Incarnation: uint64(clk.Now().UnixMicro()), Cores: set.CPUCores,
		LinkMbps: set.LinkMbps, MemoryMB: set.MemoryMB, Descriptors: set.Descriptors,
	}
	gat.started = clk.Now()
	gat.mes = messenger.New(source, &gat.rpcBytes)
	gat.reg = registrar.New(clk)
	gat.frc = forecaster.New(clk)
	gat.stm = stamper.New(clk)
	gat.units.Store(&unitTable{})
	gat.bounds.Store(&set.Bounds)
	gat.pla.OnLeaving(gat.onLeaving)
	gat.pla.OnPause(gat.onPause)
	gat.buildAcceptor()
	gat.buildLinks(source)
	gat.buildRequestPath(source)
	gat.buildPermitter()
	if err := gat.buildPeerExchange(); err != nil {
		return nil, err
	}
	gat.buildControl()
	gat.buildConfirmer()
	gat.adv.Put(gat.self)
	gat.mtr.RecordCapacity(gat.self.Capacity())
	gat.log.WithField("requests", gat.self.Capacity()).Info("capacity for callers")
	return gat, nil
}

// buildRequestPath creates the components that handle requests.
func (gat *Server) buildRequestPath(source net.IP) {
	bou := gat.set.Bounds
	gat.lim = ratelimiter.New(gat.clk)
	gat.sha = sharer.New(sharer.Options{Clock: gat.clk})
	gat.dis = dispatcher.New(dispatcher.Options{Zone: gat.set.Zone, Clock: gat.clk, Breaker: breaker.New(breaker.Options{Clock: gat.clk}), RateLimits: gat.lim, Shares: gat.sha})
	gat.dis.SetEntries(0, 0)
	gat.bud = budgeter.New(budgeter.Options{Ratio: bou.RetryRatio, Slack: bou.RetrySlack, Window: bou.RetryWindow, Clock: gat.clk})
	gat.sen = sender.New(&linkDialer{Dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, KeepAlive: -1}, lin: gat.lin, serviceAt: gat.serviceAt, isFar: gat.isFar, farBytes: &gat.farBytes}, gat.clk, dialTimeout)
	gat.det = detector.New(detector.Options{
		Members: gat.members, Prober: prober{gat: gat}, Links: gat.lin, Registrar: gat.reg, Clock: gat.clk, Logger: gat.log,
	})
	gat.buildInvestigator()
	gat.buildReserver()
	gat.gat = gateway.New(gateway.Options{
		Table: gat.tab.Load, Dispatcher: gat.dis, Sender: gat.sen, PeerSender: gat.peerSender, Links: gat.lin, Peers: peersOf{gat.pic}, Budget: gat.bud, Detector: gat.det, Quarantine: gat.inv, Demand: gat.frc,
		HeaderCodec: gat.pla.HeaderCodec, Meter: gat.mtr, OnLeaving: gat.onLeaving, OnPause: gat.onPause, OnOutdated: gat.onOutdated, OnRateLimit: gat.onRateLimit, Started: gat.unitsKnown, Isolated: gat.isolated, Reserver: gat.res, UnreadFor: gat.set.Held.UnreadFor,
		Clock: gat.clk, Logger: gat.log, Stopping: gat.stopTimes,
	})
}

// buildPeerExchange creates the components that exchange state with other entries.
func (gat *Server) buildPeerExchange() error {
	address, err := netip.ParseAddrPort(gat.set.Listen.Entries)
	if err != nil {
		return errors.NewNotValid(err, "gateserver: address for entries")
	}
	gat.adv = advertiser.New(gat.set.Name, gat.heardRecently, gat.ready)
	gat.nom = nominator.New(nominator.Options{
		Self: gat.set.Name, Candidates: gat.candidates, Step: gat.readerStateTTL, Clock: gat.clk,
	})
	gat.hea, err = heartbeater.New(heartbeater.Options{
		Address: address, Peers: gat.peers, Collectors: gat.collectorPeers, Rate: gat.heartbeatRate, Heartbeat: gat.heartbeat, Totals: gat.totalsFor, OnHeartbeat: gat.onHeartbeat, OnTotals: gat.onTotals, OnSilent: gat.onPeerSilent,
		Evidence: gat.inv.Due, OnEvidence: gat.inv.Receive, OnLimits: gat.onLimits, Registered: gat.adv.Incarnation, OnDrop: gat.mtr.RecordDroppedDatagram,
		Clock: gat.clk, Logger: gat.log,
	})
	return errors.Annotate(err, "gateserver: listen for heartbeats")
}

// buildControl creates the components that follow the store and manage replica groups.
func (gat *Server) buildControl() {
	topics := []struct {
		name         string
		unwrittenTTL time.Duration
		limit        func() time.Duration
		onChange     func(tailer.Change)
	}{
		{gat.pla.Topics.Operator, unwrittenConfigTTL, func() time.Duration { return gat.bounds.Load().ConfigLimit }, gat.onOperator},
		{gat.pla.Topics.Servers, unwrittenServerTTL, func() time.Duration { return gat.bounds.Load().LeaveLimit }, gat.onServers},
		{gat.pla.Topics.Entries, unwrittenEntryTTL, func() time.Duration { return gat.bounds.Load().LongestDirectoryValidity }, gat.onEntries},
	}
	for _, top := range topics {
		gat.tailers[top.name] = tailer.New(tailer.Options{
			Topic: top.name, UnwrittenTTL: top.unwrittenTTL, Store: gat.pla.Store, Peers: asker{gat: gat}, Clock: gat.clk, Logger: gat.log, OnChange: top.onChange, DropIdle: gat.pla.DropIdle,
			ChangeLimit: top.limit, OnStale: gat.mtr.RecordStale, AnsweredOthers: gat.answeredOthers,
		})
	}
	gat.ele = elector.New(elector.Options{
		Lease: gat.pla.Lease, IsCandidate: gat.readsStore, IsFit: func() bool { return !gat.lin.AnyLost() }, Preferred: gat.nom.Preferred, OtherLeads: gat.otherLeads, TTL: max(leaseTTL, gat.set.Store.ShortestLease),
		Clock: gat.clk, Logger: gat.log,
	})
	gat.con = conductor.New(conductor.Options{
		Records: gat.pla.Records, Engines: gat.pla.Engines, View: gat.reg.View, Table: gat.tab.Load, IsLeader: gat.ele.IsLeader,
		Loads: gat.loads, Forecast: gat.forecast, BeforeFirstRequest: gat.noRequestsYet, Meter: gat.mtr, Clock: gat.clk, Logger: gat.log,
		LoadWindow: gat.set.Bounds.LoadWindow,
	})
	gat.pru = pruner.New(pruner.Options{
		Entries: gat.adv.Others, Heard: gat.heardRecently, IsLeader: gat.ele.IsLeader, Withdraw: gat.withdrawOther, Clock: gat.clk, Logger: gat.log,
	})
}

// prober checks whether servers respond.
type prober struct {
	gat *Server
}

// Probe requests a report and counts any response as a sign of life; it fails with detector.ErrDown, or with another error if there was no response. A server that has asked for a pause is sent nothing and counts as alive.
func (pro prober) Probe(ctx context.Context, ser registrar.Server) error {
	if pro.gat.dis.Paused(ser.Instance()) {
		return nil
	}
	_, err := pro.gat.pla.Engines.Report(ctx, ser)
	if errors.Is(err, conductor.ErrServerReplaced) || errors.Is(err, conductor.ErrUnexpectedAnswer) {
		return nil
	}
	return err
}

// ready reports whether the entry accepts callers.
func (gat *Server) ready() bool {
	return gat.tab.Load() != nil && !gat.stopping.Load()
}

// stopTimes returns when a stopping entry ends; false means that it is not stopping.
func (gat *Server) stopTimes() (gateway.Stop, bool) {
	sto := gat.stop.Load()
	if sto == nil {
		return gateway.Stop{}, false
	}
	return *sto, true
}

func (gat *Server) heardRecently(name string) bool {
	return gat.hea != nil && gat.hea.Heard(name) && !gat.saidSilent(name)
}

// isolated reports whether no other entry has been heard, as after a loss of power everywhere.
func (gat *Server) isolated() bool {
	return !gat.hea.HeardAny()
}

// noRequestsYet reports whether neither this entry nor another one has received a request so far.
func (gat *Server) noRequestsYet() bool {
	return !gat.sawRequest.Load()
}

// shareLimits sets the number of entries that share the limits on retries and on requests to cold servers. It counts the registered ones: those that this entry does not hear may serve callers all the same, and have spent their part until they stopped.
func (gat *Server) shareLimits() {
	if !gat.tailers[gat.pla.Topics.Entries].Known() {
		return
	}
	num, rank := gat.adv.Members()
	gat.bud.SetEntries(num)
	gat.dis.SetEntries(num, rank)
}

// tick periodically expires state that is limited by time, and updates the number of live entries.
func (gat *Server) tick(ctx context.Context) {
	tic := gat.clk.NewTicker(tickInterval)
	defer tic.Stop()
	zon := zoneReport{gat: gat, left: map[string]dispatcher.ZoneLoad{}}
	for num := 1; ; num++ {
		select {
		case <-ctx.Done():
			return
		case <-tic.Chan():
		}
		gat.reg.Expire()
		gat.per.Tick()
		if num%memoryTicks == 0 {
			gat.res.Update()
			gat.relieveMemory()
		}
		gat.dis.DispatchWaiting()
		if num%sweepTicks == 0 {
			gat.sen.Sweep()
			gat.peerSender.Sweep()
			live := gat.adv.Live()
			gat.dis.SetLoadAge(gat.loadAge())
			gat.shareLimits()
			gat.reg.SetNoPeers(live == 1)
			gat.forgetRateLimits()
			gat.mtr.recordHeld(gat.res)
			gat.acc.Record(gat.mtr.scope)
			zon.report()
			for pool, factor := range gat.dis.Corrections() {
				gat.mtr.RecordCorrection(pool, factor)
			}
		}
	}
}
