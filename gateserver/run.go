package gateserver

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/acceptor"
	"github.com/lovagelever/lovagelever/explainer"
	"github.com/lovagelever/lovagelever/gateconfigurer"
	"github.com/lovagelever/lovagelever/gateway"
)

const (
	// firstByteTimeout limits waiting for the first request on a connection.
	firstByteTimeout = 5 * time.Second
	// ownReadTimeout limits reading a request that the entry answers itself.
	ownReadTimeout = firstByteTimeout + time.Second
	// idleTimeout limits how long a connection of a caller may be idle; the configurations of docs/ADAPTER.md let callers keep one for 15 s, and others may allow longer.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the largest limit of headers that a configuration may set.
	maxHeaderBytes = 1 << 20
	// forwardedHeaderBytes is what another entry may add to the headers of a request that it forwards.
	forwardedHeaderBytes = 4 << 10
	// writeTimeout limits writing a refusal, a directory or metrics, so that a caller that does not read holds up no stop; answers of backend servers have a limit by their deadline.
	writeTimeout = 3 * time.Second
	// stopMargin is the part of the stop grace period that is reserved for the end of the process itself.
	stopMargin = 700 * time.Millisecond
	// minStopDuration is how long a stopping entry keeps serving callers that still use its address, even if no request is running.
	minStopDuration = 3 * time.Second
	// closeMargin is how long a connection without a request is waited for once the listeners are closed; it is within stopMargin.
	closeMargin = 300 * time.Millisecond
	// stopPollInterval is the interval at which a stopping entry checks for running requests.
	stopPollInterval = 50 * time.Millisecond
	// redirectDuration is how long callers that do not cache longer than they may need to learn that the entry stops, from the other entries' directories.
	redirectDuration = directoryValidity + 500*time.Millisecond
	// directoryValidity is how long callers may cache the address list; some cache it three times as long.
	directoryValidity = 2 * time.Second
	// withdrawTimeout limits the withdrawal of the registration, within stopMargin.
	withdrawTimeout = 200 * time.Millisecond
	// registerRetryDelay is the delay before a failed registration is retried.
	registerRetryDelay = 300 * time.Millisecond
)

// Run serves until the context ends, and then stops gracefully: running requests may finish within the stop grace period.
func (gat *Server) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	rpc, err := gat.listenForEntries()
	if err != nil {
		return errors.Annotate(err, "gateserver: listen for other entries")
	}
	defer rpc.Close()
	failed := make(chan error, 1)
	web := gat.webServers()
	for _, srv := range web {
		lis, err := new(net.ListenConfig).Listen(ctx, "tcp", srv.Addr)
		if err != nil {
			return errors.Annotate(err, "gateserver: listen at "+srv.Addr)
		}
		gat.listen(lis, srv)
		go func() {
			if err := srv.Serve(srv.lis); !gat.stopping.Load() {
				failed <- err
			}
		}()
	}
	gat.start(workCtx)
	gat.log.WithFields(logrus.Fields{"address": gat.set.Listen.Callers, "incarnation": gat.self.Incarnation, "build": buildRevision()}).Info("entry started")
	select {
	case err := <-failed:
		return errors.Annotate(err, "gateserver: serve")
	case <-ctx.Done():
	}
	gat.drain(workCtx, web)
	return nil
}

func (gat *Server) start(ctx context.Context) {
	loops := []func(context.Context){gat.hea.Run, gat.updateUnits, gat.tick, gat.ele.Run, gat.con.Run, gat.keepRegistered, gat.pullEvidence, gat.lin.Run, gat.pru.Run, gat.cfm.Run, gat.acc.Run}
	for _, tai := range gat.tailers {
		loops = append(loops, tai.Run)
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

// buildRevision returns the commit that the program was built from, "unknown" if the build does not say.
func buildRevision() string {
	inf, _ := debug.ReadBuildInfo()
	if inf == nil {
		return "unknown"
	}
	for _, set := range inf.Settings {
		if set.Key == "vcs.revision" {
			return set.Value
		}
	}
	return "unknown"
}

// webServer is an HTTP server with its listener and the limits of the heads of its requests.
type webServer struct {
	*http.Server
	lis    net.Listener
	limits func() acceptor.Limits
}

func (gat *Server) webServers() []*webServer {
	keep := min(directoryValidity, gat.set.Bounds.LongestDirectoryValidity)
	metrics := echo.New()
	metrics.GET("/metrics", echo.WrapHandler(gat.mtr.handler()))
	metrics.GET(explainer.Path, gat.explain)
	out := []*webServer{
		gat.requestServer(gat.set.Listen.Callers, gat.gat, gat.headLimits),
		gat.ownServer(gat.set.Listen.Readiness, gat.pla.Readiness(gat.ready)),
		gat.ownServer(gat.set.Listen.Directory, gat.pla.Directory(gat.adv.Addresses, keep)),
		gat.ownServer(gat.set.Listen.Metrics, metrics),
	}
	if gat.set.Listen.Forwarding != "" {
		out = append(out, gat.requestServer(gat.set.Listen.Forwarding, gat.gat.Forwarded(), gat.forwardedHeadLimits))
	}
	return out
}

// requestServer returns a server for requests to backend servers.
func (gat *Server) requestServer(address string, han http.Handler, limits func() acceptor.Limits) *webServer {
	return &webServer{limits: limits, Server: &http.Server{
		Addr: address, Handler: gat.noteRequests(han), ConnContext: gateway.ConnContext,
		ReadHeaderTimeout: firstByteTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

// ownServer returns a server for requests that the entry answers itself.
func (gat *Server) ownServer(address string, han http.Handler) *webServer {
	return &webServer{limits: gat.headLimits, Server: &http.Server{
		Addr: address, Handler: han,
		ReadHeaderTimeout: firstByteTimeout, ReadTimeout: ownReadTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
}

// noteRequests records that this entry has received a request.
func (gat *Server) noteRequests(han http.Handler) http.Handler {
	return http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		gat.sawRequest.Store(true)
		han.ServeHTTP(wtr, req)
	})
}

// Reload applies new bounds; all other settings keep their values from the start.
func (gat *Server) Reload(set gateconfigurer.Settings) {
	gat.bounds.Store(&set.Bounds)
	gat.bud.SetBounds(set.Bounds.RetryRatio, set.Bounds.RetrySlack)
	gat.log.WithFields(logrus.Fields{"bounds": set.Bounds, "other_settings_changed": !gat.sameIdentity(set)}).Info("settings reloaded")
}

// sameIdentity reports whether all settings that need a restart are unchanged.
func (gat *Server) sameIdentity(set gateconfigurer.Settings) bool {
	set.Bounds = gat.set.Bounds
	return set == gat.set
}

// errReplaced means that a registration has been replaced or lost since the store accepted it.
const errReplaced = errors.ConstError("registration replaced")

// keepRegistered registers this entry, and does so again whenever the registration is lost or replaced by an earlier one, at a random time, so that not all entries write at once.
func (gat *Server) keepRegistered(ctx context.Context) {
	gat.register(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-gat.unregistered:
		}
		gat.clk.Sleep(rand.N(registerSpread))
		if gat.stopping.Load() {
			return
		}
		gat.log.Info("registering again, the registration is lost")
		gat.register(ctx)
	}
}

// register registers this entry, and retries until the store accepts it or the entry stops: a registration that is written then may outlast it.
func (gat *Server) register(ctx context.Context) {
	for ctx.Err() == nil && !gat.stopping.Load() {
		offset, era, err := gat.pla.Register(ctx, gat.self)
		if err == nil {
			reg := registration{era: era, offset: offset, at: gat.clk.Now()}
			gat.registered.Store(&reg)
			if !gat.isReplaced(reg) {
				return
			}
			err = errReplaced
		}
		gat.log.WithError(err).Info("registration failed, trying again")
		select {
		case <-ctx.Done():
		case <-gat.clk.After(registerRetryDelay):
		}
	}
}

// drain makes the entry not ready, waits for running requests until the grace period ends, withdraws the registration, and finishes the requests that arrived in the meantime.
func (gat *Server) drain(ctx context.Context, web []*webServer) {
	began := gat.clk.Now()
	ends := began.Add(gat.bounds.Load().StopGrace - stopMargin)
	gat.stop.Store(&gateway.Stop{Ends: ends, RedirectedAt: began.Add(redirectDuration)})
	gat.stopping.Store(true)
	gat.log.WithField("running", gat.dra.Busy()).Info("entry stops")
	go gat.announce()
	go gat.ele.Resign(ctx)
	for {
		since := gat.clk.Since(began)
		if gat.clk.Until(ends) <= 0 || since >= minStopDuration && gat.dra.Busy() == 0 {
			break
		}
		gat.clk.Sleep(stopPollInterval)
	}
	if gat.clk.Until(ends) <= 0 {
		gat.gat.End()
	}
	gat.withdraw(ctx)
	gat.closeListeners(ctx, web, ends.Add(closeMargin))
	gat.gat.LogCut(began)
	gat.log.WithFields(logrus.Fields{"running": gat.dra.Busy(), "after_ms": gat.clk.Since(began).Milliseconds()}).Info("entry stopped")
}

// closeListeners accepts no more connections, goes on with those that are open until no request has been handled for a moment, and then closes them.
func (gat *Server) closeListeners(ctx context.Context, web []*webServer, ends time.Time) {
	for _, srv := range web {
		if err := srv.lis.Close(); err != nil {
			gat.log.WithError(err).WithField("address", srv.Addr).Warn("failed to close a listener")
		}
	}
	gat.awaitQuiet(closeMargin, ends)
	ctx, cancel := context.WithTimeout(ctx, stopPollInterval)
	defer cancel()
	var closing sync.WaitGroup
	for _, srv := range web {
		// Connections without a request need not be waited for.
		closing.Go(func() { _ = srv.Shutdown(ctx) })
	}
	closing.Wait()
	gat.awaitQuiet(0, ends)
}

// awaitQuiet waits until no request has been handled for a time, at most until ends.
func (gat *Server) awaitQuiet(quiet time.Duration, ends time.Time) {
	for since := gat.clk.Now(); gat.clk.Until(ends) > 0; gat.clk.Sleep(stopPollInterval) {
		if gat.dra.Busy() > 0 {
			since = gat.clk.Now()
		} else if gat.clk.Since(since) >= quiet {
			return
		}
	}
}

// withdraw removes the registration; until then the other entries keep sending it their load, and its heartbeats say that it is stopping.
func (gat *Server) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if err := gat.pla.Withdraw(ctx, gat.set.Name); err != nil {
		gat.log.WithError(err).Info("failed to withdraw the registration, other entries will miss the heartbeats")
	}
}

// withdrawOther removes the registration of an entry that is gone, unless an entry has registered that is not known yet.
func (gat *Server) withdrawOther(ctx context.Context, name string) error {
	_, end := gat.tailers[gat.pla.Topics.Entries].End()
	return gat.pla.WithdrawOther(ctx, name, end)
}
