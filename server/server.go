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

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/appender"
	"github.com/lovagelever/lovagelever/burner"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/evictor"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/freshener"
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
	"github.com/lovagelever/lovagelever/snapshotter"
	"github.com/lovagelever/lovagelever/steerer"
	"github.com/lovagelever/lovagelever/ticketer"
	"github.com/lovagelever/lovagelever/watcher"
)

const idlePerHost = 256

// Server is one entry.
type Server struct {
	set configurer.Settings
	clk clockwork.Clock
	log *logrus.Entry
	dia *net.Dialer
	cli *http.Client
	ctl *http.Client

	mes *messenger.Messenger
	lcl *logcaller.Caller
	fol *follower.Follower
	app *appender.Appender
	joi *joiner.Joiner
	gos *gossiper.Gossiper
	fre *freshener.Freshener
	evi *evictor.Evictor
	wat *watcher.Watcher
	lis *lister.Lister
	adm *admitter.Admitter
	kee *keeper.Keeper
	ste *steerer.Steerer
	sna *snapshotter.Snapshotter
	qua *quarantiner.Quarantiner
	tic *ticketer.Ticketer
	com *completer.Completer
	fwd *forwarder.Forwarder
	loc *locator.Locator
	mtr *meter
	bur *burner.Burner

	cla          atomic.Pointer[claimer.Claimer]
	rpcBytes     counter.Counter
	ctlBytes     counter.Counter
	draining     atomic.Bool
	running      sync.WaitGroup
	diverged     atomic.Int64
	weights      atomic.Pointer[planner.StoreQueue]
	zoneOutSince atomic.Int64
	leavingAt    atomic.Pointer[map[string]time.Time]
	ech          *echo.Echo

	storeRead time.Time
}

// New makes an entry from its settings; it fails with errors.NotValid for an address that is none.
func New(set configurer.Settings) (*Server, error) {
	host, _, err := net.SplitHostPort(set.Address)
	if err != nil {
		return nil, errors.NewNotValid(err, "server: address")
	}
	source := net.ParseIP(host)
	srv := &Server{
		set: set,
		clk: clockwork.NewRealClock(),
		log: newLogger(set),
		dia: &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: source}},
	}
	srv.mes = messenger.New(source, &srv.rpcBytes)
	srv.cli = newClient(srv.dia.DialContext)
	srv.ctl = newClient(srv.ctlBytes.Dial(srv.dia))
	srv.buildControl()
	srv.buildRequests()
	srv.ech = srv.routes()
	return srv, nil
}

func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     time.Minute,
	}}
}

// Run serves until the context ends, and then stops without cutting a request.
func Run(ctx context.Context, set configurer.Settings) error {
	srv, err := New(set)
	if err != nil {
		return errors.Trace(err)
	}
	return srv.Run(ctx)
}

// Run serves until the context ends, and then stops without cutting a request.
func (srv *Server) Run(ctx context.Context) error {
	rpc, err := messenger.Listen(srv.set.RPCAddress, &receiver{srv: srv}, &srv.rpcBytes)
	if err != nil {
		return errors.Annotate(err, "server: listen to entries")
	}
	defer rpc.Close()
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", srv.set.Address)
	if err != nil {
		return errors.Annotate(err, "server: listen to callers")
	}
	working, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	srv.startAll(working)
	web := &http.Server{
		Handler:           srv.ech,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	failed := make(chan error, 1)
	go func() { failed <- web.Serve(lis) }()
	srv.log.WithFields(logrus.Fields{"address": srv.set.Address, "rpc_address": srv.set.RPCAddress}).Info("entry serves")
	select {
	case err := <-failed:
		return errors.Annotate(err, "server: serve callers")
	case <-ctx.Done():
	}
	srv.stop(working, web)
	srv.mes.Close()
	return nil
}

func (srv *Server) startAll(ctx context.Context) {
	loops := []func(context.Context){
		srv.fol.Run, srv.joi.Run, srv.gos.Run, srv.evi.Run, srv.wat.Prober().Run,
		srv.lis.Run, srv.kee.Run, srv.ste.Run, srv.sna.Run, srv.tellLoop,
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

func (srv *Server) self() string {
	return srv.joi.Member().Incarnation
}

func (srv *Server) view() *reducer.View {
	return srv.fol.View()
}

// standing is what this entry may do; one that is no member yet, or no more, takes no new work.
func (srv *Server) standing() freshener.Freshness {
	sta := srv.fre.Evaluate()
	if !srv.joi.Joined() {
		return freshener.Freshness{LogAge: sta.LogAge, PeersInSync: sta.PeersInSync, TotalPeers: sta.TotalPeers, Explanation: "not a member"}
	}
	return sta
}

func (srv *Server) member() recorder.Member {
	return recorder.Member{
		Name:       srv.set.Name,
		Zone:       srv.set.Zone,
		Region:     srv.set.Region,
		Address:    srv.set.AdvertiseAddress,
		RPCAddress: srv.set.AdvertiseRPCAddress,
	}
}
