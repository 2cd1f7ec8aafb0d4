package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lovagelever/lovagelever/planner"
)

const (
	storeEvery   = 2 * time.Second
	storeTimeout = time.Second
)

// readStore asks the weight store for its queue while this entry controls a region.
func (srv *Server) readStore(ctx context.Context) {
	now := srv.clk.Now()
	if !srv.controls() || now.Sub(srv.storeRead) < storeEvery {
		return
	}
	srv.storeRead = now
	ctx, stop := context.WithTimeout(ctx, storeTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+srv.set.WeightStoreAddress+"/v1/leases", http.NoBody)
	if err != nil {
		return
	}
	res, err := srv.ctl.Do(req)
	if err != nil {
		srv.log.WithError(err).Debug("weight store not read")
		return
	}
	defer func() { _ = res.Body.Close() }()
	var ans struct {
		Rate   float64 `json:"gigabytes_per_second"`
		Queued float64 `json:"queued_gigabytes"`
	}
	if err := json.NewDecoder(res.Body).Decode(&ans); err != nil {
		return
	}
	srv.weights.Store(&planner.StoreQueue{QueuedGigabytes: ans.Queued, GigabytesPerSecond: ans.Rate})
}

func (srv *Server) controls() bool {
	for _, mem := range srv.view().Controllers {
		if mem.Incarnation == srv.self() {
			return true
		}
	}
	return false
}
