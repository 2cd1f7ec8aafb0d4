package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/planner"
)

const (
	storeReadInterval = 2 * time.Second
	storeReadTimeout  = time.Second
)

// readStore polls the queue of the weight store while this entry is the controller of a region.
func (srv *Server) readStore(ctx context.Context) {
	now := srv.clock.Now()
	if !srv.isController() || now.Sub(srv.storeReadAt) < storeReadInterval {
		return
	}
	srv.storeReadAt = now
	ctx, stop := context.WithTimeout(ctx, storeReadTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+srv.settings.WeightStoreAddress+"/v1/leases", http.NoBody)
	if err != nil {
		return
	}
	res, err := srv.controlClient.Do(req)
	if err != nil {
		srv.log.WithError(err).Debug("weight store not read")
		return
	}
	defer func() { _ = res.Body.Close() }()
	data, err := collector.ReadAll(res.Body, collector.MaxControlBytes)
	if err != nil {
		srv.log.WithError(err).Debug("weight store not read")
		return
	}
	var ans struct {
		Rate   float64 `json:"gigabytes_per_second"`
		Queued float64 `json:"queued_gigabytes"`
	}
	if err := json.Unmarshal(data, &ans); err != nil {
		return
	}
	srv.lastStoreQueue.Store(&planner.StoreQueue{QueuedGigabytes: ans.Queued, GigabytesPerSecond: ans.Rate})
}

func (srv *Server) isController() bool {
	for _, mem := range srv.view().Controllers {
		if mem.Incarnation == srv.self() {
			return true
		}
	}
	return false
}
