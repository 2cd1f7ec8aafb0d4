package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/gateconfigurer"
	"github.com/lovagelever/lovagelever/messenger"
)

const (
	// headerWithin bounds the headers of a request; the configurations of docs/ADAPTER.md allow 3 s.
	headerWithin = 5 * time.Second
	// idleWithin bounds an idle connection of a caller; the configurations of docs/ADAPTER.md let callers keep one for 15 s, and others may let them longer.
	idleWithin = 2 * time.Minute
	// mostHeaderBytes bounds the headers of a request before the configuration's own limit is looked at.
	mostHeaderBytes = 64 << 10
	// stopMargin is left of the grace for the end of the process itself.
	stopMargin = 700 * time.Millisecond
	// lingerFor is how long a stopping entry stays for callers that still believe in its address, though it runs nothing.
	lingerFor = 3 * time.Second
	// stopLook is the time between two looks whether anything still runs.
	stopLook = 50 * time.Millisecond
	// directoryValidity is how long callers keep an address list; some keep it three times as long.
	directoryValidity = 2 * time.Second
	// withdrawWithin bounds the end of the registration, within stopMargin.
	withdrawWithin = 200 * time.Millisecond
	// registerRetry is the pause after a registration that failed.
	registerRetry = 300 * time.Millisecond
)

// Run serves until the context ends, and then stops without cutting a request.
func (gat *Gatekeeper) Run(ctx context.Context) error {
	working, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	rpc, err := messenger.Listen(gat.set.Listen.Entries, &receiver{gat: gat}, &gat.rpcBytes)
	if err != nil {
		return errors.Annotate(err, "gatekeeper: listen to entries")
	}
	defer rpc.Close()
	failed := make(chan error, 1)
	web := gat.webServers()
	for _, srv := range web {
		lis, err := new(net.ListenConfig).Listen(ctx, "tcp", srv.Addr)
		if err != nil {
			return errors.Annotate(err, "gatekeeper: listen at "+srv.Addr)
		}
		go func() { failed <- srv.Serve(lis) }()
	}
	gat.start(working)
	gat.log.WithFields(logrus.Fields{"address": gat.set.Listen.Callers, "incarnation": gat.self.Incarnation}).Info("entry started")
	select {
	case err := <-failed:
		return errors.Annotate(err, "gatekeeper: serve")
	case <-ctx.Done():
	}
	gat.stop(working)
	return nil
}

func (gat *Gatekeeper) start(ctx context.Context) {
	loops := []func(context.Context){gat.sha.Run, gat.follow, gat.tick, gat.ele.Run, gat.con.Run, gat.register}
	for _, tai := range gat.tails {
		loops = append(loops, tai.Run)
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

func (gat *Gatekeeper) webServers() []*http.Server {
	callers := &http.Server{
		Addr: gat.set.Listen.Callers, Handler: http.HandlerFunc(gat.serveCaller),
		ReadHeaderTimeout: headerWithin, IdleTimeout: idleWithin, MaxHeaderBytes: mostHeaderBytes,
	}
	keep := min(directoryValidity, gat.set.Bounds.LongestDirectoryValidity)
	metrics := echo.New()
	metrics.GET("/metrics", echo.WrapHandler(gat.mtr.handler()))
	return []*http.Server{
		callers,
		{Addr: gat.set.Listen.Readiness, Handler: gat.pla.Readiness(gat.ready), ReadHeaderTimeout: headerWithin, IdleTimeout: idleWithin},
		{Addr: gat.set.Listen.Directory, Handler: gat.pla.Directory(gat.itr.Addresses, keep), ReadHeaderTimeout: headerWithin, IdleTimeout: idleWithin},
		{Addr: gat.set.Listen.Metrics, Handler: metrics, ReadHeaderTimeout: headerWithin, IdleTimeout: idleWithin},
	}
}

func (gat *Gatekeeper) serveCaller(wtr http.ResponseWriter, req *http.Request) {
	gat.served.Store(true)
	gat.running.Add(1)
	defer gat.running.Add(-1)
	gat.gat.ServeHTTP(wtr, req)
}

// Reload takes new bounds; addresses and names stay those of the start.
func (gat *Gatekeeper) Reload(set gateconfigurer.Settings) {
	gat.bounds.Store(&set.Bounds)
	gat.bud.SetBounds(set.Bounds.RetryRatio, set.Bounds.RetrySlack)
	gat.log.WithFields(logrus.Fields{"bounds": set.Bounds, "other_settings_changed": !gat.sameIdentity(set)}).Info("settings read again")
}

// sameIdentity reports whether nothing has changed that only a start takes.
func (gat *Gatekeeper) sameIdentity(set gateconfigurer.Settings) bool {
	set.Bounds = gat.set.Bounds
	return set == gat.set
}

// register writes the registration of this entry until the store takes it.
func (gat *Gatekeeper) register(ctx context.Context) {
	for ctx.Err() == nil {
		err := gat.pla.Register(ctx, gat.self)
		if err == nil {
			return
		}
		gat.log.WithError(err).Info("registration put off")
		select {
		case <-ctx.Done():
		case <-gat.clk.After(registerRetry):
		}
	}
}

// stop takes no more callers, lets all requests end, and leaves.
func (gat *Gatekeeper) stop(ctx context.Context) {
	began := gat.clk.Now()
	ends := began.Add(gat.bounds.Load().StopGrace - stopMargin)
	gat.endsAt.Store(&ends)
	gat.stopping.Store(true)
	gat.log.WithField("running", gat.running.Load()).Info("entry stops")
	go gat.ele.Resign(ctx)
	for {
		since := gat.clk.Since(began)
		if gat.clk.Until(ends) <= 0 || since >= lingerFor && gat.running.Load() == 0 {
			break
		}
		gat.clk.Sleep(stopLook)
	}
	gat.withdraw(ctx)
	gat.log.WithFields(logrus.Fields{"running": gat.running.Load(), "after_ms": gat.clk.Since(began).Milliseconds()}).Info("entry stopped")
}

// withdraw ends the registration; until then the others go on telling this entry what they run, and its beats say that it stops.
func (gat *Gatekeeper) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawWithin)
	defer cancel()
	if err := gat.pla.Withdraw(ctx, gat.set.Name); err != nil {
		gat.log.WithError(err).Info("registration could not be withdrawn, the entry falls silent")
	}
}
