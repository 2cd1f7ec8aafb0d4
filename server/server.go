package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/acceptor"
	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/appender"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/evictor"
	"github.com/lovagelever/lovagelever/executor"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/joiner"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/lister"
	"github.com/lovagelever/lovagelever/locator"
	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/slocounter"
	"github.com/lovagelever/lovagelever/snapshotter"
	"github.com/lovagelever/lovagelever/ticketer"
	"github.com/lovagelever/lovagelever/watcher"
)

const idlePerHost = 256

// Server is one entry: its components, HTTP handlers and RPC methods.
type Server struct {
	settings      configurer.Settings
	clock         clockwork.Clock
	log           *logrus.Entry
	dialer        *net.Dialer
	client        *http.Client
	controlClient *http.Client

	messenger        *messenger.Messenger
	logCaller        *logcaller.Caller
	follower         *follower.Follower
	appender         *appender.Appender
	joiner           *joiner.Joiner
	gossiper         *gossiper.Gossiper
	freshnesschecker *freshnesschecker.Checker
	evictor          *evictor.Evictor
	watcher          *watcher.Watcher
	lister           *lister.Lister
	admitter         *admitter.Admitter
	keeper           *keeper.Keeper
	executor         *executor.Executor
	snapshotter      *snapshotter.Snapshotter
	quarantiner      *quarantiner.Quarantiner
	ticketer         *ticketer.Ticketer
	completer        *completer.Completer
	forwarder        *forwarder.Forwarder
	locator          *locator.Locator
	metrics          *metrics
	slocounter       *slocounter.Counter
	acceptor         *acceptor.Acceptor
	bodies           *collector.Collector

	claimer        atomic.Pointer[claimer.Claimer]
	rpcBytes       counter.Counter
	controlBytes   counter.Counter
	draining       atomic.Bool
	inFlight       sync.WaitGroup
	divergences    atomic.Int64
	lastStoreQueue atomic.Pointer[planner.StoreQueue]
	zoneOutSince   atomic.Int64
	leavingAt      atomic.Pointer[map[string]time.Time]
	router         *echo.Echo

	storeReadAt time.Time
}

// New returns an entry with the given settings; it fails with errors.NotValid if the address can't be parsed.
func New(set configurer.Settings) (*Server, error) {
	host, _, err := net.SplitHostPort(set.Address)
	if err != nil {
		return nil, errors.NewNotValid(err, "server: address")
	}
	source := net.ParseIP(host)
	srv := &Server{
		settings: set,
		clock:    clockwork.NewRealClock(),
		log:      newLogger(set),
		dialer:   &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: source}},
	}
	srv.buildAcceptor()
	srv.messenger = messenger.New(source, &srv.rpcBytes)
	srv.client = newClient(srv.dialer.DialContext)
	srv.controlClient = newClient(srv.controlBytes.Dial(srv.dialer))
	srv.buildControl()
	srv.buildRequestPath()
	srv.router = srv.routes()
	return srv, nil
}

func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	tra := collector.NewTransport(dial, idlePerHost)
	tra.IdleConnTimeout = time.Minute
	return &http.Client{Transport: collector.CheckResponses(tra)}
}

// Run creates an entry and serves until the context is canceled, then shuts down once requests in progress have ended or the stop timeout has passed.
func Run(ctx context.Context, set configurer.Settings) error {
	srv, err := New(set)
	if err != nil {
		return errors.Trace(err)
	}
	return srv.Run(ctx)
}

// Run serves until the context is canceled, then shuts down once requests in progress have ended or the stop timeout has passed.
func (srv *Server) Run(ctx context.Context) error {
	rpc, err := srv.listenForEntries()
	if err != nil {
		return errors.Annotate(err, "server: listen for RPC from entries")
	}
	defer rpc.Close()
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", srv.settings.Address)
	if err != nil {
		return errors.Annotate(err, "server: listen for HTTP")
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	srv.startLoops(workCtx)
	web := &http.Server{
		Handler:           srv.router,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	srv.acceptor.Watch(web)
	failed := make(chan error, 1)
	go func() { failed <- web.Serve(srv.acceptor.ListenRequests(lis, srv.headLimits)) }()
	srv.log.WithFields(logrus.Fields{"address": srv.settings.Address, "rpc_address": srv.settings.RPCAddress}).Info("entry is serving")
	select {
	case err := <-failed:
		return errors.Annotate(err, "server: serve HTTP")
	case <-ctx.Done():
	}
	srv.stop(workCtx, web)
	srv.messenger.Close()
	return nil
}

func (srv *Server) startLoops(ctx context.Context) {
	loops := []func(context.Context){
		srv.follower.Run, srv.joiner.Run, srv.gossiper.Run, srv.evictor.Run, srv.watcher.Prober().Run,
		srv.lister.Run, srv.keeper.Run, srv.executor.Run, srv.snapshotter.Run, srv.factLoop, srv.acceptor.Run,
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

func (srv *Server) self() string {
	return srv.joiner.Member().Incarnation
}

func (srv *Server) view() *reducer.View {
	return srv.follower.View()
}

// freshness returns what this entry may do with its current state; an entry that is not a member may not take new work.
func (srv *Server) freshness() freshnesschecker.Freshness {
	sta := srv.freshnesschecker.Evaluate()
	if !srv.joiner.Joined() {
		return freshnesschecker.Freshness{LogAge: sta.LogAge, PeersInSync: sta.PeersInSync, TotalPeers: sta.TotalPeers, Explanation: "not a member"}
	}
	return sta
}

func (srv *Server) member() recorder.Member {
	return recorder.Member{
		Name:       srv.settings.Name,
		Zone:       srv.settings.Zone,
		Region:     srv.settings.Region,
		Address:    srv.settings.AdvertiseAddress,
		RPCAddress: srv.settings.AdvertiseRPCAddress,
	}
}
