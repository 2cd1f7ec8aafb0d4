package server

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/appender"
	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/enginecaller"
	"github.com/lovagelever/lovagelever/evictor"
	"github.com/lovagelever/lovagelever/executor"
	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/invoker"
	"github.com/lovagelever/lovagelever/joiner"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/lister"
	"github.com/lovagelever/lovagelever/locator"
	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/retrier"
	"github.com/lovagelever/lovagelever/slocounter"
	"github.com/lovagelever/lovagelever/snapshotter"
	"github.com/lovagelever/lovagelever/streamer"
	"github.com/lovagelever/lovagelever/ticketer"
	"github.com/lovagelever/lovagelever/watcher"
)

// buildControl builds the components that read, apply and append to the log, and then those that depend on them.
func (srv *Server) buildControl() {
	srv.metrics = newMetrics()
	srv.slocounter = slocounter.New(srv.clock)
	srv.logCaller = logcaller.New(srv.settings.LogAddress, srv.controlClient)
	srv.follower = follower.New(follower.Options{
		Log:     srv.logCaller,
		Peers:   anyPeer{peerClient{srv: srv}},
		Clock:   srv.clock,
		Logger:  srv.log,
		OnApply: srv.onApply,
	})
	srv.appender = appender.New(srv.logCaller, srv.follower, srv.clock)
	srv.joiner = joiner.New(joiner.Options{
		Member:   srv.member(),
		State:    srv.follower,
		Appender: srv.appender,
		Clock:    srv.clock,
		Logger:   srv.log,
		OnRename: srv.onIncarnationChange,
	})
	srv.buildPeers()
	srv.buildWatchers()
	srv.buildAssignedTasks()
}

// buildPeers builds the gossip with other entries and the components that judge freshness and evict members by it.
func (srv *Server) buildPeers() {
	srv.gossiper = gossiper.New(gossiper.Options{
		State:        srv.follower,
		Peers:        peerClient{srv: srv},
		Clock:        srv.clock,
		Logger:       srv.log,
		Interval:     srv.settings.ProbeInterval,
		OnDivergence: srv.onDivergence,
	}, srv.self())
	srv.freshnesschecker = freshnesschecker.New(srv.follower, srv.gossiper, srv.clock, srv.settings.FreshFor)
	srv.evictor = evictor.New(evictor.Options{
		View:         srv.view,
		Freshness:    srv.freshness,
		Peers:        srv.gossiper,
		Witness:      witness{srv: srv},
		Appender:     srv.appender,
		Clock:        srv.clock,
		Logger:       srv.log,
		SuspectAfter: srv.settings.SuspectAfter,
	})
}

// buildAssignedTasks builds the tasks that this entry runs only while the control state assigns them to it.
func (srv *Server) buildAssignedTasks() {
	srv.executor = executor.New(executor.Options{
		View:      srv.view,
		Self:      srv.self,
		Freshness: srv.freshness,
		Observe:   srv.observe,
		Appender:  srv.appender,
		Orders:    enginecaller.New(srv.controlClient),
		Clock:     srv.clock,
		Logger:    srv.log,
		Planner:   srv.newPlanner,
	})
	srv.snapshotter = snapshotter.New(snapshotter.Options{
		State:        srv.follower,
		Self:         srv.self,
		Appender:     srv.appender,
		Clock:        srv.clock,
		Logger:       srv.log,
		EveryRecords: int64(srv.settings.SnapshotEveryRecords),
		MaxInterval:  srv.settings.SnapshotWithin,
	})
}

// buildWatchers builds the components that list and probe backend servers and admit requests to them.
func (srv *Server) buildWatchers() {
	srv.lister = lister.New(lister.Options{
		Address:    srv.settings.VMListAddress,
		Client:     srv.controlClient,
		ReaderRank: srv.regionRank,
		Clock:      srv.clock,
		Logger:     srv.log,
	})
	srv.leavingAt.Store(&map[string]time.Time{})
	srv.watcher = watcher.New(watcher.Options{
		View:          srv.view,
		Leaving:       srv.timeUntilLeaving,
		Self:          srv.self,
		Facts:         srv.gossiper,
		Clock:         srv.clock,
		Interval:      srv.settings.ProbeInterval,
		ProberOptions: prober.Options{Client: srv.controlClient},
		OnReport:      func(unit string, pro prober.Probe) { srv.keeper.OnReport(unit, pro) },
	})
	srv.admitter = admitter.New(admitter.Options{
		Incarnation: srv.self(),
		Queue:       queuer.Options{},
		NewLimiter:  limiterFactory(srv.settings.Limits),
		Clock:       srv.clock,
	})
	srv.keeper = keeper.New(keeper.Options{
		View:          srv.view,
		Changed:       srv.follower.Changed,
		Self:          srv.self,
		Freshness:     srv.freshness,
		Stager:        srv.watcher,
		Facts:         srv.gossiper,
		Admitter:      srv.admitter,
		Yield:         srv.requestYield,
		Clock:         srv.clock,
		Logger:        srv.log,
		Interval:      srv.settings.ProbeInterval,
		TakeoverAfter: 3 * srv.settings.FreshFor,
		Spawn:         func(call func()) { go call() },
	})
}

// buildRequestPath builds the components that handle requests.
func (srv *Server) buildRequestPath() {
	srv.claimer.Store(srv.newClaimer())
	srv.quarantiner = quarantiner.New(quarantiner.Settings{Logger: srv.log}, srv.clock, stateReader{srv: srv}, stateReader{srv: srv})
	srv.ticketer = ticketer.New(ticketer.Options{
		View:        srv.view,
		Self:        srv.self,
		LocalHome:   srv.keeper,
		RemoteHomes: entryClient{srv: srv},
		Clock:       srv.clock,
	})
	bre := breaker.New(breaker.Options{Clock: srv.clock})
	bal := srv.newBalancer(bre)
	srv.completer = completer.New(completer.Options{
		View:         srv.view,
		Candidates:   srv.servingGroups,
		Tickets:      srv.ticketer,
		Engines:      streamer.New(srv.client),
		Checker:      checker{cli: srv.client},
		Balancer:     bal,
		Breaker:      bre,
		Budget:       retrier.New(retrier.Options{Seed: seedOf(srv.settings.Name)}),
		Quarantine:   srv.quarantiner,
		Clock:        srv.clock,
		Logger:       srv.log,
		MaxQueueTime: srv.settings.QueueTimeout,
		Zone:         srv.settings.Zone,
	})
	srv.forwarder = forwarder.New(forwarder.Options{
		View:         srv.view,
		Candidates:   srv.servingVMs,
		Claimer:      srv.claimer.Load,
		Tickets:      srv.ticketer,
		Services:     invoker.New(srv.dialer, 0),
		Balancer:     bal,
		Entries:      entryClient{srv: srv},
		Clock:        srv.clock,
		MaxQueueTime: srv.settings.QueueTimeout,
		Zone:         srv.settings.Zone,
	})
	srv.locator = locator.New(locator.Options{
		View:       srv.view,
		Candidates: srv.servingGroups,
		Entries:    entryFacts{srv: srv},
		Self:       srv.self,
		ValidFor:   srv.settings.LocateValidFor,
	})
}

func (srv *Server) newClaimer() *claimer.Claimer {
	set := claimer.Settings{Name: srv.settings.Name, Incarnation: srv.self(), Window: srv.settings.OutcomeWindow}
	return claimer.New(set, srv.clock, stateReader{srv: srv}, srv.follower, claimAppender{srv: srv})
}

// onIncarnationChange runs when this entry rejoins after an eviction; the new claimer answers keys of the earlier incarnation with an unknown outcome.
func (srv *Server) onIncarnationChange(inc string) {
	srv.gossiper.SetIncarnation(inc)
	srv.claimer.Store(srv.newClaimer())
}

func (srv *Server) onDivergence() {
	srv.divergences.Add(1)
	srv.metrics.countDivergence()
}

func (srv *Server) onApply(ent recorder.Entry, rea reducer.Reason) {
	srv.metrics.countRecord(ent.Record.Kind, rea)
}

// claimAppender appends the claimer's records to the log without waiting for their verdict, because the claimer reads them back itself.
type claimAppender struct {
	srv *Server
}

// Append sends a record to the log once, without retries.
func (cla claimAppender) Append(ctx context.Context, rec recorder.Record) error {
	_, err := cla.srv.logCaller.Append(ctx, rec)
	return err
}

func (srv *Server) requestYield(ctx context.Context, address string, req keeper.YieldRequest) (keeper.YieldAnswer, error) {
	return messenger.Call[keeper.YieldRequest, keeper.YieldAnswer](ctx, srv.messenger, address, "Yield", req)
}
