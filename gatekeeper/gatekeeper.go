package gatekeeper

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

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/budgeter"
	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/elector"
	"github.com/lovagelever/lovagelever/gateconfigurer"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/introducer"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
	"github.com/lovagelever/lovagelever/sharer"
	"github.com/lovagelever/lovagelever/tailer"
)

const (
	// dialWithin bounds a connection to a backend server: round trips take up to 6 ms, and a lost opening packet is sent again after 1 s.
	dialWithin = 700 * time.Millisecond
	// leaseTTL is the time to live of the leader's lease where the store allows it.
	leaseTTL = 1500 * time.Millisecond
	// tickEvery is the time between two looks at what runs out by time.
	tickEvery = 20 * time.Millisecond
	// sweepTicks is after how many ticks idle connections are looked through.
	sweepTicks = 50
)

// Gatekeeper is one entry.
type Gatekeeper struct {
	set gateconfigurer.Settings
	pla Platform
	clk clockwork.Clock
	log *logrus.Entry

	reg *registrar.Registrar
	dis *dispatcher.Dispatcher
	bud *budgeter.Budgeter
	sen *sender.Sender
	det *detector.Detector
	itr *introducer.Introducer
	sha *sharer.Sharer
	ele *elector.Elector
	con *conductor.Conductor
	gat *gateway.Gateway
	mes *messenger.Messenger
	mtr *meter

	tails    map[string]*tailer.Tailer
	tab      atomic.Pointer[router.Table]
	units    atomic.Pointer[unitTable]
	bounds   atomic.Pointer[gateconfigurer.Bounds]
	stopping atomic.Bool
	endsAt   atomic.Pointer[time.Time]
	served   atomic.Bool
	running  atomic.Int64
	rpcBytes counter.Counter
	beats    atomic.Uint64
	// others is how many entries get beats.
	others  atomic.Int64
	self    introducer.Entry
	zones   sync.Map
	readers sync.Map
}

// New makes an entry; it fails with errors.NotValid for an address that is none.
func New(set gateconfigurer.Settings, pla Platform, clk clockwork.Clock, log *logrus.Entry) (*Gatekeeper, error) {
	source := net.ParseIP(set.Address)
	if source == nil {
		return nil, errors.NotValidf("gatekeeper: address %q", set.Address)
	}
	gat := &Gatekeeper{set: set, pla: pla, clk: clk, log: log, mtr: newMeter(), tails: map[string]*tailer.Tailer{}}
	gat.self = introducer.Entry{
		Name: set.Name, Zone: set.Zone, Callers: set.Listen.Callers, Entries: set.Listen.Entries,
		Incarnation: uint64(clk.Now().UnixMicro()),
	}
	gat.mes = messenger.New(source, &gat.rpcBytes)
	gat.reg = registrar.New(clk)
	gat.units.Store(&unitTable{})
	gat.bounds.Store(&set.Bounds)
	gat.buildRequests(source)
	if err := gat.buildSharing(); err != nil {
		return nil, err
	}
	gat.buildControl()
	gat.itr.Put(gat.self)
	return gat, nil
}

// buildRequests makes what carries requests.
func (gat *Gatekeeper) buildRequests(source net.IP) {
	bou := gat.set.Bounds
	gat.dis = dispatcher.New(dispatcher.Options{Zone: gat.set.Zone, Clock: gat.clk, Breaker: breaker.New(breaker.Options{Clock: gat.clk})})
	gat.bud = budgeter.New(budgeter.Options{Ratio: bou.RetryRatio, Slack: bou.RetrySlack, Window: bou.RetryWindow, Clock: gat.clk})
	gat.sen = sender.New(&net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, KeepAlive: -1}, gat.clk, dialWithin)
	gat.det = detector.New(detector.Options{
		Members: gat.members, Asker: sounding{gat: gat}, Doubts: gat.reg, Clock: gat.clk, Logger: gat.log,
	})
	gat.gat = gateway.New(gateway.Options{
		Table: gat.tab.Load, Places: gat.dis, Sender: gat.sen, Budget: gat.bud, Detector: gat.det,
		Dialect: gat.pla.Dialect, Meter: gat.mtr, Clock: gat.clk, Logger: gat.log, Stopping: gat.ends,
	})
}

// buildSharing makes what entries tell each other.
func (gat *Gatekeeper) buildSharing() error {
	address, err := netip.ParseAddrPort(gat.set.Listen.Entries)
	if err != nil {
		return errors.NewNotValid(err, "gatekeeper: address for entries")
	}
	gat.itr = introducer.New(gat.set.Name, gat.heard, gat.ready)
	gat.sha, err = sharer.New(sharer.Options{
		Address: address, Peers: gat.peers, Beat: gat.beat, OnBeat: gat.onBeat, OnSilent: gat.onSilent,
		Clock: gat.clk, Logger: gat.log,
	})
	return errors.Annotate(err, "gatekeeper: listen for beats")
}

// buildControl makes what follows the store and decides on groups.
func (gat *Gatekeeper) buildControl() {
	changes := map[string]func(tailer.Change){
		gat.pla.Topics.Operator: gat.onOperator,
		gat.pla.Topics.Servers:  gat.onServers,
		gat.pla.Topics.Entries:  gat.onEntries,
	}
	for topic, change := range changes {
		gat.tails[topic] = tailer.New(tailer.Options{
			Topic: topic, Store: gat.pla.Store, Peers: asking{gat: gat}, Clock: gat.clk, Logger: gat.log, OnChange: change,
		})
	}
	gat.ele = elector.New(elector.Options{Lease: gat.pla.Lease, IsCandidate: gat.reads, TTL: max(leaseTTL, gat.set.Store.ShortestLease), Clock: gat.clk, Logger: gat.log})
	gat.con = conductor.New(conductor.Options{
		Records: gat.pla.Records, Engines: gat.pla.Engines, View: gat.reg.View, Table: gat.tab.Load, IsLeader: gat.ele.IsLeader,
		Loads: gat.loads, BeforeFirstRequest: gat.early, Clock: gat.clk, Logger: gat.log,
		LoadWindow: gat.set.Bounds.LoadWindow,
	})
}

// sounding asks servers for a sign of life.
type sounding struct {
	gat *Gatekeeper
}

// Ask takes any answer for a sign of life; it fails with detector.ErrDown, or another error when there was none.
func (sou sounding) Ask(ctx context.Context, ser registrar.Server) error {
	_, err := sou.gat.pla.Engines.Report(ctx, ser)
	if errors.Is(err, conductor.ErrServerReplaced) || errors.Is(err, conductor.ErrUnexpectedAnswer) {
		return nil
	}
	return err
}

// ready reports whether the entry takes callers.
func (gat *Gatekeeper) ready() bool {
	return gat.tab.Load() != nil && !gat.stopping.Load()
}

// ends returns when a stopping entry ends.
func (gat *Gatekeeper) ends() (time.Time, bool) {
	at := gat.endsAt.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

func (gat *Gatekeeper) heard(name string) bool {
	return gat.sha != nil && gat.sha.Heard(name)
}

// early reports whether no request has come yet, here or at another entry.
func (gat *Gatekeeper) early() bool {
	return !gat.served.Load()
}

// tick looks at what runs out by time.
func (gat *Gatekeeper) tick(ctx context.Context) {
	tic := gat.clk.NewTicker(tickEvery)
	defer tic.Stop()
	for num := 1; ; num++ {
		select {
		case <-ctx.Done():
			return
		case <-tic.Chan():
		}
		gat.reg.Tick()
		gat.dis.DispatchWaiting()
		if num%sweepTicks == 0 {
			gat.sen.Sweep()
			live := gat.itr.Live()
			gat.dis.SetEntries(live)
			gat.bud.SetEntries(live)
			gat.reg.SetAlone(live == 1)
		}
	}
}
