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

// folded answers questions of other parts from the folded state.
type folded struct {
	srv *Server
}

// Live reports whether an incarnation is a member.
func (fol folded) Live(inc string) bool {
	_, live := fol.srv.view().Members[inc]
	return live
}

// Successor names who holds the outcomes of an incarnation that left.
func (fol folded) Successor(inc string) (string, bool) {
	dep, left := fol.srv.view().Departed[inc]
	return dep.Successor, left
}

// Condemned reports whether the fold refuses a fingerprint.
func (fol folded) Condemned(fingerprint string) bool {
	_, condemned := fol.srv.view().Condemned[fingerprint]
	return condemned
}

// Propose appends a condemnation in the background.
func (fol folded) Propose(con recorder.Condemn) {
	go func() {
		rec, err := recorder.New(fol.srv.clk.Now(), recorder.KindCondemn, fol.srv.self(), con)
		if err != nil {
			fol.srv.log.WithError(err).Error("condemnation not made")
			return
		}
		ctx, stop := context.WithTimeout(context.Background(), condemnTimeout)
		defer stop()
		if _, err := fol.srv.app.Append(ctx, rec); err != nil {
			fol.srv.log.WithError(err).Warn("condemnation not settled")
		}
	}()
}

// peers calls other entries.
type peers struct {
	srv *Server
}

// Exchange pulls what is new at an entry; the next call after a failure dials anew.
func (pee peers) Exchange(ctx context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	ans, err := messenger.Call[gossiper.Request, gossiper.Answer](ctx, pee.srv.mes, address, "Exchange", req)
	if err != nil {
		pee.srv.mes.Disconnect(address)
	}
	return ans, err
}

// anyPeer gets the folded state from whichever entry answers.
type anyPeer struct {
	peers
}

// Snapshot asks the members that are known, then the peers of the settings; it fails with errors.NotFound.
func (pee anyPeer) Snapshot(ctx context.Context) (recorder.Snapshot, error) {
	for _, mem := range pee.srv.view().Members {
		if mem.Incarnation == pee.srv.self() {
			continue
		}
		if sna, err := pee.peers.Snapshot(ctx, mem.RPCAddress); err == nil {
			return sna, nil
		}
	}
	for _, address := range pee.srv.set.Peers {
		if address == pee.srv.set.AdvertiseRPCAddress {
			continue
		}
		if sna, err := pee.peers.Snapshot(ctx, address); err == nil {
			return sna, nil
		}
	}
	return recorder.Snapshot{}, errors.NotFoundf("state of a peer")
}

// Snapshot asks one entry for its folded state.
func (pee peers) Snapshot(ctx context.Context, address string) (recorder.Snapshot, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	return messenger.Call[string, recorder.Snapshot](ctx, pee.srv.mes, address, "Snapshot", pee.srv.self())
}

// witness asks another entry whether it reaches a third.
type witness struct {
	srv *Server
}

// Reaches reports whether the witness got an answer from the target.
func (wit witness) Reaches(ctx context.Context, other, target reducer.Member) bool {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	reached, err := messenger.Call[PingRequest, bool](ctx, wit.srv.mes, other.RPCAddress, "Reach", PingRequest{Address: target.RPCAddress, Incarnation: target.Incarnation})
	return err == nil && reached
}

// checker asks a backend server for its status.
type checker struct {
	cli *http.Client
}

// Status returns what the backend server reports now.
func (che checker) Status(ctx context.Context, vm, address string) (prober.Status, error) {
	return prober.Ask(ctx, che.cli, prober.Target{VM: vm, Address: address})
}

// groupsOf lists the groups of a model that serve, as their homes say.
func (srv *Server) groupsOf(vie *reducer.View, model string) []balancer.Candidate {
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

// vmsOf lists the VMs of a service that serve, as their homes say.
func (srv *Server) vmsOf(vie *reducer.View, service string) []balancer.Candidate {
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
	sta, told := srv.kee.UnitStatus(vie, unit)
	home, live := vie.HomeOf(unit)
	if !told || !live || sta.Stage != watcher.StageServing || vie.Catalog.Rules.ZoneOut(zone) {
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
		Fresh:   srv.heardLately(home),
	}, true
}

// heardLately reports whether an entry was heard not long ago; one that this entry does not exchange with counts as heard.
func (srv *Server) heardLately(home reducer.Member) bool {
	heard := srv.gos.LastHeard(home.Incarnation)
	return home.Incarnation == srv.self() || heard.IsZero() || srv.clk.Since(heard) < srv.set.FreshFor
}

func (srv *Server) observe(vie *reducer.View) planner.Observations {
	obs := planner.Observations{VMs: srv.wat.Observe(vie)}
	for vm, leavesAt := range *srv.leavingAt.Load() {
		one := obs.VMs[vm]
		one.Leaving = true
		one.LeavesAt = leavesAt
		obs.VMs[vm] = one
	}
	obs.Store = srv.store()
	return obs
}

func seedOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

var _ keeper.Stager = (*watcher.Watcher)(nil)
