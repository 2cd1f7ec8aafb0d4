package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// service is the plain service that all workers belong to, as venue-api of the first sites.
	service     = "venue"
	workerSlots = 24
	workTime    = 60 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	// idleTimeout is after how long a worker closes an idle connection; it says so in each answer.
	idleTimeout = 15 * time.Second
)

// arrival is a request that has reached a worker.
type arrival struct {
	id, from string
	at       time.Time
}

// worker is a sound worker of the plain service. Its record and its requests pass through links.
type worker struct {
	id, zone, address string
	advertised        string
	born              int64
	put               func(id string, entry []byte)
	rec               *record
	srv               *http.Server
	stop              chan struct{}

	mux      sync.Mutex
	state    string
	seq      int
	arrivals []arrival
}

func newWorker(ctx context.Context, id, zone, address, advertised string, put func(id string, entry []byte), rec *record) (*worker, error) {
	wor := &worker{id: id, zone: zone, address: address, advertised: advertised, born: time.Now().UnixMilli(), put: put, rec: rec, stop: make(chan struct{}), state: "ready"}
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	wor.srv = &http.Server{Handler: http.HandlerFunc(wor.serve), IdleTimeout: idleTimeout, ReadHeaderTimeout: idleTimeout}
	go func() {
		if err := wor.srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			rec.add("%s ended: %v", id, err)
		}
	}()
	wor.publish()
	go wor.beat()
	return wor, nil
}

func (wor *worker) beat() {
	tic := time.NewTicker(heartbeat)
	defer tic.Stop()
	for {
		select {
		case <-wor.stop:
			return
		case <-tic.C:
			wor.publish()
		}
	}
}

// publish writes the record of the worker unless that has been removed.
func (wor *worker) publish() {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	if wor.state == "" {
		return
	}
	wor.seq++
	data, err := json.Marshal(map[string]any{
		"service": service, "addr": wor.advertised, "zone": wor.zone, "version": "v1", "slots": workerSlots, "state": wor.state, "cold_left_ms": 0, "seq": wor.seq, "born": wor.born,
	})
	if err == nil {
		wor.put(wor.id, data)
	}
}

// drain writes that the worker is draining, and returns when the store has accepted it.
func (wor *worker) drain() time.Time {
	wor.mux.Lock()
	wor.state = "draining"
	wor.mux.Unlock()
	wor.publish()
	now := time.Now()
	wor.rec.addAt(now, "%s is leaving: draining, acknowledged by the store", wor.id)
	return now
}

// leave removes the record, as a worker does that never reports draining, and returns when the store has accepted that. The worker goes on serving.
func (wor *worker) leave() time.Time {
	wor.mux.Lock()
	wor.state = ""
	wor.put(wor.id, nil)
	wor.mux.Unlock()
	close(wor.stop)
	now := time.Now()
	wor.rec.addAt(now, "%s is leaving: its record is removed, acknowledged by the store", wor.id)
	return now
}

func (wor *worker) serve(wtr http.ResponseWriter, req *http.Request) {
	from, _, _ := net.SplitHostPort(req.RemoteAddr)
	head := wtr.Header()
	head.Set("Lovagelever-Instance", wor.id)
	if want := req.Header.Get("Lovagelever-Expect-Instance"); want != "" && want != wor.id {
		wtr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/report" {
		head.Set("Content-Type", "application/json")
		_ = json.NewEncoder(wtr).Encode(map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0, "born": wor.born})
		return
	}
	id := req.Header.Get("Lovagelever-Request-Id")
	arr := arrival{id: id, from: from, at: time.Now()}
	wor.mux.Lock()
	wor.arrivals = append(wor.arrivals, arr)
	wor.mux.Unlock()
	wor.rec.addAt(arr.at, "%s runs %s from %s, %s left", wor.id, id, from, req.Header.Get("Lovagelever-Deadline-Ms"))
	time.Sleep(workTime)
	head.Set("Lovagelever-Request-Id", id)
	head.Set("Lovagelever-Stamp", "stamp-"+id)
	head.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	_, _ = fmt.Fprintf(wtr, "answer to %s", id)
}

// arrivedAfter returns the requests that reached the worker after a time.
func (wor *worker) arrivedAfter(at time.Time) []arrival {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	var out []arrival
	for _, arr := range wor.arrivals {
		if arr.at.After(at) {
			out = append(out, arr)
		}
	}
	return out
}

// close ends the worker. It is safe after leave.
func (wor *worker) close() {
	wor.mux.Lock()
	ended := wor.state == ""
	wor.state = ""
	wor.mux.Unlock()
	if !ended {
		close(wor.stop)
	}
	_ = wor.srv.Close()
}
