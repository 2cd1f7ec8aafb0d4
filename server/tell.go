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
	tellEvery      = 500 * time.Millisecond
	subjectEntry   = "entry"
	subjectCrash   = "crash/"
	subjectControl = "control"
	subjectLeaving = "leaving"
)

// entryFact is what an entry says of itself.
type entryFact struct {
	Prefix   string `json:"prefix"`
	Draining bool   `json:"draining"`
	Fresh    bool   `json:"fresh"`
}

// tellLoop states the facts of this entry and takes in those of others.
func (srv *Server) tellLoop(ctx context.Context) {
	for ctx.Err() == nil {
		srv.tellEntry()
		srv.tellControl()
		srv.setFact(subjectLeaving, srv.lis.Leaving())
		srv.shareCrashes()
		srv.gatherLeaving()
		srv.readStore(ctx)
		srv.mtr.control(&srv.rpcBytes, &srv.ctlBytes)
		select {
		case <-ctx.Done():
		case <-srv.clk.After(tellEvery):
		}
	}
}

func (srv *Server) tellEntry() {
	srv.setFact(subjectEntry, entryFact{
		Prefix:   srv.cla.Load().Prefix(),
		Draining: srv.draining.Load(),
		Fresh:    srv.standing().Fresh,
	})
}

func (srv *Server) tellControl() {
	for _, mem := range srv.view().Controllers {
		if mem.Incarnation == srv.self() {
			srv.setFact(subjectControl, srv.ste.Reasons())
			return
		}
	}
}

func (srv *Server) shareCrashes() {
	told := map[string]bool{}
	for _, got := range srv.gos.All(subjectCrash) {
		var fac quarantiner.CrashObservation
		if got.Origin != srv.self() && json.Unmarshal(got.Body, &fac) == nil {
			told[got.Subject] = true
			srv.qua.Merge(fac)
		}
	}
	for _, fac := range srv.qua.Observations() {
		if sub := crashSubject(fac); !told[sub] {
			srv.setFact(sub, fac)
		}
	}
}

func crashSubject(fac quarantiner.CrashObservation) string {
	kind := "/crashed/"
	if fac.Cleared {
		kind = "/cleared/"
	}
	return subjectCrash + fac.Fingerprint + kind + fac.CrashID
}

func (srv *Server) setFact(subject string, val any) {
	data, err := json.Marshal(val)
	if err != nil {
		srv.log.WithError(err).Error("fact not encoded")
		return
	}
	srv.gos.Set(subject, data)
}

// entries tells what the entries say of themselves.
type entries struct {
	srv *Server
}

// Prefix is the key prefix that an entry issues now.
func (ent entries) Prefix(inc string) (string, bool) {
	if inc == ent.srv.self() {
		return ent.srv.cla.Load().Prefix(), true
	}
	fac, told := ent.fact(inc)
	return fac.Prefix, told && fac.Prefix != ""
}

// Usable reports whether an entry says that it takes new work and was heard lately.
func (ent entries) Usable(mem reducer.Member) bool {
	if mem.Incarnation == ent.srv.self() {
		return !ent.srv.draining.Load() && ent.srv.standing().Fresh
	}
	fac, told := ent.fact(mem.Incarnation)
	return told && !fac.Draining && fac.Fresh && ent.srv.heardLately(mem)
}

func (ent entries) fact(inc string) (entryFact, bool) {
	body, told := ent.srv.gos.Get(subjectEntry, inc)
	var fac entryFact
	if !told || json.Unmarshal(body, &fac) != nil {
		return entryFact{}, false
	}
	return fac, true
}

// reasons gathers why work waits, from the controllers of all regions.
func (srv *Server) reasons() map[string]string {
	out := map[string]string{}
	for _, mem := range srv.view().Controllers {
		body, told := srv.gos.Get(subjectControl, mem.Incarnation)
		var part map[string]string
		if !told || json.Unmarshal(body, &part) != nil {
			continue
		}
		for what, why := range part {
			out[what] = why
		}
	}
	return out
}

// gatherLeaving holds the VMs that any entry has read to be leaving.
func (srv *Server) gatherLeaving() {
	out := map[string]time.Time{}
	for _, fac := range srv.gos.All(subjectLeaving) {
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

// leavesIn tells in what time a VM leaves, if it is leaving.
func (srv *Server) leavesIn(vm string) (time.Duration, bool) {
	leavesAt, leaving := (*srv.leavingAt.Load())[vm]
	return leavesAt.Sub(srv.clk.Now()), leaving
}

// turn is the rank of this entry among the members of its region.
func (srv *Server) turn() (rank, size int) {
	for _, mem := range srv.view().Members {
		if mem.Region != srv.set.Region {
			continue
		}
		size++
		if mem.Name < srv.set.Name {
			rank++
		}
	}
	return rank, size
}

func (srv *Server) store() planner.StoreQueue {
	if sto := srv.weights.Load(); sto != nil {
		return *sto
	}
	return planner.StoreQueue{}
}
