package server

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/appender"
	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/burner"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/evictor"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/freshener"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/invoker"
	"github.com/lovagelever/lovagelever/joiner"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/lister"
	"github.com/lovagelever/lovagelever/locator"
	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/orderer"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/retrier"
	"github.com/lovagelever/lovagelever/snapshotter"
	"github.com/lovagelever/lovagelever/steerer"
	"github.com/lovagelever/lovagelever/streamer"
	"github.com/lovagelever/lovagelever/ticketer"
	"github.com/lovagelever/lovagelever/watcher"
)

// buildControl makes what reads, folds and appends to the log, and then what rests on it.
func (srv *Server) buildControl() {
	srv.mtr = newMeter()
	srv.bur = burner.New(srv.clk)
	srv.lcl = logcaller.New(srv.set.LogAddress, srv.ctl)
	srv.fol = follower.New(follower.Options{
		Log:     srv.lcl,
		Peers:   anyPeer{peers{srv: srv}},
		Clock:   srv.clk,
		Logger:  srv.log,
		OnApply: srv.onFold,
	})
	srv.app = appender.New(srv.lcl, srv.fol, srv.clk)
	srv.joi = joiner.New(joiner.Options{
		Member:   srv.member(),
		State:    srv.fol,
		Appender: srv.app,
		Clock:    srv.clk,
		Logger:   srv.log,
		OnRename: srv.onRename,
	})
	srv.buildPeers()
	srv.buildWatch()
	srv.buildDuties()
}

// buildPeers makes what entries tell each other and conclude from it.
func (srv *Server) buildPeers() {
	srv.gos = gossiper.New(gossiper.Options{
		State:        srv.fol,
		Peers:        peers{srv: srv},
		Clock:        srv.clk,
		Logger:       srv.log,
		Interval:     srv.set.ProbeInterval,
		OnDivergence: srv.onDivergence,
	}, srv.self())
	srv.fre = freshener.New(srv.fol, srv.gos, srv.clk, srv.set.FreshFor)
	srv.evi = evictor.New(evictor.Options{
		View:         srv.view,
		Freshness:    srv.standing,
		Peers:        srv.gos,
		Witness:      witness{srv: srv},
		Appender:     srv.app,
		Clock:        srv.clk,
		Logger:       srv.log,
		SuspectAfter: srv.set.SuspectAfter,
	})
}

// buildDuties makes what this entry does while the fold assigns it.
func (srv *Server) buildDuties() {
	srv.ste = steerer.New(steerer.Options{
		View:      srv.view,
		Self:      srv.self,
		Freshness: srv.standing,
		Observe:   srv.observe,
		Appender:  srv.app,
		Orders:    orderer.New(srv.ctl),
		Clock:     srv.clk,
		Logger:    srv.log,
		Planner:   srv.newPlanner,
	})
	srv.sna = snapshotter.New(snapshotter.Options{
		State:        srv.fol,
		Self:         srv.self,
		Appender:     srv.app,
		Clock:        srv.clk,
		Logger:       srv.log,
		EveryRecords: int64(srv.set.SnapshotEveryRecords),
		MaxInterval:  srv.set.SnapshotWithin,
	})
}

// buildWatch makes what looks at backend servers and admits to them.
func (srv *Server) buildWatch() {
	srv.lis = lister.New(lister.Options{
		Address: srv.set.VMListAddress,
		Client:  srv.ctl,
		Turn:    srv.turn,
		Clock:   srv.clk,
		Logger:  srv.log,
	})
	srv.leavingAt.Store(&map[string]time.Time{})
	srv.wat = watcher.New(watcher.Options{
		View:     srv.view,
		Leaving:  srv.leavesIn,
		Self:     srv.self,
		Facts:    srv.gos,
		Clock:    srv.clk,
		Interval: srv.set.ProbeInterval,
		Client:   prober.Options{Client: srv.ctl},
		OnReport: func(unit string, pro prober.Probe) { srv.kee.OnReport(unit, pro) },
	})
	srv.adm = admitter.New(admitter.Options{
		Incarnation: srv.self(),
		Queue:       queuer.Options{},
		NewLimiter:  limiterOf(srv.set.Limits),
		Clock:       srv.clk,
	})
	srv.kee = keeper.New(keeper.Options{
		View:          srv.view,
		Changed:       srv.fol.Changed,
		Self:          srv.self,
		Freshness:     srv.standing,
		Stager:        srv.wat,
		Facts:         srv.gos,
		Admitter:      srv.adm,
		Yield:         srv.askYield,
		Clock:         srv.clk,
		Logger:        srv.log,
		Interval:      srv.set.ProbeInterval,
		TakeoverAfter: 3 * srv.set.FreshFor,
		Spawn:         func(call func()) { go call() },
	})
}

// buildRequests makes what carries requests.
func (srv *Server) buildRequests() {
	srv.cla.Store(srv.newClaimer())
	srv.qua = quarantiner.New(quarantiner.Settings{}, srv.clk, folded{srv: srv}, folded{srv: srv})
	srv.tic = ticketer.New(ticketer.Options{
		View:        srv.view,
		Self:        srv.self,
		LocalHome:   srv.kee,
		RemoteHomes: remote{srv: srv},
		Clock:       srv.clk,
	})
	bre := breaker.New(breaker.Options{Clock: srv.clk})
	bal := srv.newBalancer(bre)
	srv.com = completer.New(completer.Options{
		View:       srv.view,
		Candidates: srv.groupsOf,
		Tickets:    srv.tic,
		Engines:    streamer.New(srv.cli),
		Checker:    checker{cli: srv.cli},
		Balancer:   bal,
		Breaker:    bre,
		Budget:     retrier.New(retrier.Options{Seed: seedOf(srv.set.Name)}),
		Quarantine: srv.qua,
		Clock:      srv.clk,
		Logger:     srv.log,
		Queue:      srv.set.QueueTimeout,
		Zone:       srv.set.Zone,
	})
	srv.fwd = forwarder.New(forwarder.Options{
		View:       srv.view,
		Candidates: srv.vmsOf,
		Claimer:    srv.cla.Load,
		Tickets:    srv.tic,
		Services:   invoker.New(srv.dia, 0),
		Balancer:   bal,
		Entries:    remote{srv: srv},
		Clock:      srv.clk,
		Queue:      srv.set.QueueTimeout,
		Zone:       srv.set.Zone,
	})
	srv.loc = locator.New(locator.Options{
		View:       srv.view,
		Candidates: srv.groupsOf,
		Entries:    entries{srv: srv},
		Self:       srv.self,
		ValidFor:   srv.set.LocateValidFor,
	})
}

func (srv *Server) newClaimer() *claimer.Claimer {
	set := claimer.Settings{Name: srv.set.Name, Incarnation: srv.self(), Window: srv.set.OutcomeWindow}
	return claimer.New(set, srv.clk, folded{srv: srv}, srv.fol, claims{srv: srv})
}

// onRename follows an eviction: keys of the earlier incarnation are answered as of unknown outcome.
func (srv *Server) onRename(inc string) {
	srv.gos.SetIncarnation(inc)
	srv.cla.Store(srv.newClaimer())
}

func (srv *Server) onDivergence() {
	srv.diverged.Add(1)
	srv.mtr.diverged()
}

func (srv *Server) onFold(ent recorder.Entry, rea reducer.Reason) {
	srv.mtr.folded(ent.Record.Kind, rea)
}

// claims appends the records of the claimer, which reads them back itself.
type claims struct {
	srv *Server
}

// Append sends a record once.
func (cla claims) Append(ctx context.Context, rec recorder.Record) error {
	_, err := cla.srv.lcl.Append(ctx, rec)
	return err
}

func (srv *Server) askYield(ctx context.Context, address string, req keeper.YieldRequest) (keeper.YieldAnswer, error) {
	return messenger.Call[keeper.YieldRequest, keeper.YieldAnswer](ctx, srv.mes, address, "Yield", req)
}
