package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/lovagelever/lovagelever/planner"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	factInterval = 500 * time.Millisecond
	subjectEntry = "entry"
	subjectCrash = "crash/"
	// subjectPartCrash has the crashes under parts of prompts; entries of earlier versions would take the parts for requests.
	subjectPartCrash = "part_crash/"
	subjectControl   = "control"
	subjectLeaving   = "leaving"
)

// entryFact is the gossip fact in which an entry reports its own status.
type entryFact struct {
	Prefix   string `json:"prefix"`
	Draining bool   `json:"draining"`
	Fresh    bool   `json:"fresh"`
}

// factLoop periodically publishes the facts of this entry by gossip and merges those of other entries.
func (srv *Server) factLoop(ctx context.Context) {
	for ctx.Err() == nil {
		srv.setEntryFact()
		srv.setControlFact()
		srv.setFact(subjectLeaving, srv.lister.Leaving())
		srv.syncCrashFacts()
		srv.mergeLeaving()
		srv.readStore(ctx)
		srv.metrics.setControlBytes(&srv.rpcBytes, &srv.controlBytes)
		srv.acceptor.Record(srv.metrics.scope)
		select {
		case <-ctx.Done():
		case <-srv.clock.After(factInterval):
		}
	}
}

func (srv *Server) setEntryFact() {
	srv.setFact(subjectEntry, entryFact{
		Prefix:   srv.claimer.Load().Prefix(),
		Draining: srv.draining.Load(),
		Fresh:    srv.freshness().Fresh,
	})
}

func (srv *Server) setControlFact() {
	for _, mem := range srv.view().Controllers {
		if mem.Incarnation == srv.self() {
			srv.setFact(subjectControl, srv.executor.Reasons())
			return
		}
	}
}

func (srv *Server) syncCrashFacts() {
	shared := map[string]bool{}
	for _, got := range append(srv.gossiper.All(subjectCrash), srv.gossiper.All(subjectPartCrash)...) {
		var fac quarantiner.CrashObservation
		if got.Origin != srv.self() && json.Unmarshal(got.Body, &fac) == nil {
			shared[got.Subject] = true
			srv.quarantiner.Merge(fac)
		}
	}
	for _, fac := range srv.quarantiner.Observations() {
		if sub := crashSubject(fac); !shared[sub] {
			srv.setFact(sub, fac)
		}
	}
}

func crashSubject(fac quarantiner.CrashObservation) string {
	kind := "/crashed/"
	if fac.Cleared {
		kind = "/cleared/"
	}
	prefix := subjectCrash
	if quarantiner.IsPart(fac.Fingerprint) {
		prefix = subjectPartCrash
	}
	return prefix + fac.Fingerprint + kind + fac.CrashID
}

func (srv *Server) setFact(subject string, val any) {
	data, err := json.Marshal(val)
	if err != nil {
		srv.log.WithError(err).Error("encoding of a gossip fact failed")
		return
	}
	srv.gossiper.Set(subject, data)
}

// entryFacts reads the facts that entries publish about themselves.
type entryFacts struct {
	srv *Server
}

// Prefix returns the prefix of the idempotency keys that an entry issues now, and false if it is not known.
func (ent entryFacts) Prefix(inc string) (string, bool) {
	if inc == ent.srv.self() {
		return ent.srv.claimer.Load().Prefix(), true
	}
	fac, known := ent.fact(inc)
	return fac.Prefix, known && fac.Prefix != ""
}

// Usable reports whether an entry accepts new work by its own report and was heard from recently.
func (ent entryFacts) Usable(mem reducer.Member) bool {
	if mem.Incarnation == ent.srv.self() {
		return !ent.srv.draining.Load() && ent.srv.freshness().Fresh
	}
	fac, known := ent.fact(mem.Incarnation)
	return known && !fac.Draining && fac.Fresh && ent.srv.heardRecently(mem)
}

func (ent entryFacts) fact(inc string) (entryFact, bool) {
	body, known := ent.srv.gossiper.Get(subjectEntry, inc)
	var fac entryFact
	if !known || json.Unmarshal(body, &fac) != nil {
		return entryFact{}, false
	}
	return fac, true
}

// waitReasons merges the reasons for waiting work that the controllers of all regions publish.
func (srv *Server) waitReasons() map[string]string {
	out := map[string]string{}
	for _, mem := range srv.view().Controllers {
		body, known := srv.gossiper.Get(subjectControl, mem.Incarnation)
		var part map[string]string
		if !known || json.Unmarshal(body, &part) != nil {
			continue
		}
		for what, why := range part {
			out[what] = why
		}
	}
	return out
}

// mergeLeaving stores the union of the leaving VMs that the entries have read from the VM list.
func (srv *Server) mergeLeaving() {
	out := map[string]time.Time{}
	for _, fac := range srv.gossiper.All(subjectLeaving) {
		var part map[string]time.Time
		if json.Unmarshal(fac.Body, &part) != nil {
			continue
		}
		for vm, leavesAt := range part {
			out[vm] = leavesAt
		}
	}
	srv.leavingAt.Store(&out)
}

// timeUntilLeaving returns the time until a VM leaves, and false if it is not leaving.
func (srv *Server) timeUntilLeaving(vm string) (time.Duration, bool) {
	leavesAt, leaving := (*srv.leavingAt.Load())[vm]
	return leavesAt.Sub(srv.clock.Now()), leaving
}

// regionRank returns the rank of this entry by name among the members of its region, and their number.
func (srv *Server) regionRank() (rank, size int) {
	for _, mem := range srv.view().Members {
		if mem.Region != srv.settings.Region {
			continue
		}
		size++
		if mem.Name < srv.settings.Name {
			rank++
		}
	}
	return rank, size
}

func (srv *Server) storeQueue() planner.StoreQueue {
	if sto := srv.lastStoreQueue.Load(); sto != nil {
		return *sto
	}
	return planner.StoreQueue{}
}
