package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/watcher"
)

const (
	peerTimeout    = 2 * time.Second
	condemnTimeout = 10 * time.Second
)

// stateReader gives other components access to the control state and proposes condemnations to the log.
type stateReader struct {
	srv *Server
}

// Live reports whether an incarnation is a current member.
func (rea stateReader) Live(inc string) bool {
	_, live := rea.srv.view().Members[inc]
	return live
}

// Successor returns the incarnation that holds the outcomes of a departed one, and false if the given one has not departed.
func (rea stateReader) Successor(inc string) (string, bool) {
	dep, left := rea.srv.view().Departed[inc]
	return dep.Successor, left
}

// Condemned reports whether requests with a fingerprint are refused by the control state.
func (rea stateReader) Condemned(fingerprint string) bool {
	_, condemned := rea.srv.view().Condemned[fingerprint]
	return condemned
}

// Propose appends a condemnation to the log in the background.
func (rea stateReader) Propose(con recorder.Condemn) {
	go func() {
		rec, err := recorder.New(rea.srv.clock.Now(), recorder.KindCondemn, rea.srv.self(), con)
		if err != nil {
			rea.srv.log.WithError(err).Error("encoding of a condemnation record failed")
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), condemnTimeout)
		defer stop()
		if _, err := rea.srv.appender.Append(ctx, rec); err != nil {
			rea.srv.log.WithError(err).Warn("condemnation not confirmed by the log")
		}
	}()
}

// peerClient calls the gossip and snapshot methods of other entries.
type peerClient struct {
	srv *Server
}

// Exchange pulls the news of another entry; after a failure it drops the connection so that the next call dials again.
func (pee peerClient) Exchange(ctx context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	ans, err := messenger.Call[gossiper.Request, gossiper.Answer](ctx, pee.srv.messenger, address, "Exchange", req)
	if err != nil {
		pee.srv.messenger.Disconnect(address)
	}
	return ans, err
}

// anyPeer fetches a snapshot from the first entry that answers.
type anyPeer struct {
	peerClient
}

// Snapshot asks the known members and then the peers of the settings for a snapshot; it fails with errors.NotFound if none answers.
func (pee anyPeer) Snapshot(ctx context.Context) (recorder.Snapshot, error) {
	for _, mem := range pee.srv.view().Members {
		if mem.Incarnation == pee.srv.self() {
			continue
		}
		if sna, err := pee.peerClient.Snapshot(ctx, mem.RPCAddress); err == nil {
			return sna, nil
		}
	}
	for _, address := range pee.srv.settings.Peers {
		if address == pee.srv.settings.AdvertiseRPCAddress {
			continue
		}
		if sna, err := pee.peerClient.Snapshot(ctx, address); err == nil {
			return sna, nil
		}
	}
	return recorder.Snapshot{}, errors.NotFoundf("snapshot at any peer")
}

// Snapshot asks one entry for a snapshot of its control state.
func (pee peerClient) Snapshot(ctx context.Context, address string) (recorder.Snapshot, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	return messenger.Call[string, recorder.Snapshot](ctx, pee.srv.messenger, address, "Snapshot", pee.srv.self())
}

// witness asks another entry whether it can reach a third one.
type witness struct {
	srv *Server
}

// Reaches reports whether the other entry got an answer from the target.
func (wit witness) Reaches(ctx context.Context, other, target reducer.Member) bool {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	reached, err := messenger.Call[PingRequest, bool](ctx, wit.srv.messenger, other.RPCAddress, "Reach", PingRequest{Address: target.RPCAddress, Incarnation: target.Incarnation})
	return err == nil && reached
}

// checker probes a backend server on demand.
type checker struct {
	cli *http.Client
}

// Status returns the current status of a backend server.
func (che checker) Status(ctx context.Context, vm, address string) (prober.Status, error) {
	return prober.FetchStatus(ctx, che.cli, prober.Target{VM: vm, Address: address})
}

// servingGroups returns the groups of a model that serve according to their homes.
func (srv *Server) servingGroups(vie *reducer.View, model string) []balancer.Candidate {
	var out []balancer.Candidate
	for name, grp := range vie.Groups {
		if grp.Model != model || grp.Quiesced {
			continue
		}
		if can, serves := srv.candidate(vie, name, grp.Zone); serves {
			out = append(out, can)
		}
	}
	return out
}

// servingVMs returns the VMs of a service that serve according to their homes.
func (srv *Server) servingVMs(vie *reducer.View, service string) []balancer.Candidate {
	var out []balancer.Candidate
	for name, vm := range vie.Catalog.Inventory.VMs {
		if vm.Service != service {
			continue
		}
		if can, serves := srv.candidate(vie, name, vm.Zone); serves {
			out = append(out, can)
		}
	}
	return out
}

func (srv *Server) candidate(vie *reducer.View, unit, zone string) (balancer.Candidate, bool) {
	sta, known := srv.keeper.UnitStatus(vie, unit)
	home, live := vie.HomeOf(unit)
	if !known || !live || sta.Stage != watcher.StageServing || vie.Catalog.Rules.ZoneDisabled(zone) {
		return balancer.Candidate{}, false
	}
	return balancer.Candidate{
		Unit:    unit,
		Home:    home.Name,
		Zone:    zone,
		Limit:   max(1, sta.Limit),
		Running: sta.Running,
		Queued:  sta.Waiting,
		Warm:    sta.Warm,
		Fresh:   srv.heardRecently(home),
	}, true
}

// heardRecently reports whether an entry was heard from within FreshFor; this entry itself and entries that it does not exchange gossip with count as heard.
func (srv *Server) heardRecently(home reducer.Member) bool {
	heard := srv.gossiper.LastHeard(home.Incarnation)
	return home.Incarnation == srv.self() || heard.IsZero() || srv.clock.Since(heard) < srv.settings.FreshFor
}

func (srv *Server) observe(vie *reducer.View) planner.Observations {
	obs := planner.Observations{VMs: srv.watcher.Observe(vie)}
	for vm, leavesAt := range *srv.leavingAt.Load() {
		one := obs.VMs[vm]
		one.Leaving = true
		one.LeavesAt = leavesAt
		obs.VMs[vm] = one
	}
	obs.Store = srv.storeQueue()
	return obs
}

func seedOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

var _ keeper.Stager = (*watcher.Watcher)(nil)
