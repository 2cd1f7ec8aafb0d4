package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovagelever/lovagelever/hoster"
)

const (
	heartbeat = 1200 * time.Millisecond
	// lapseAfter is after how long a silent worker is taken off the list, downFor how long a crashed one is down.
	lapseAfter = 3 * heartbeat
	downFor    = 4 * time.Second
	work       = 50 * time.Millisecond
	longWork   = 300 * time.Millisecond
	slots      = 6
	// A stream has streamEvents events, one each eventPause.
	streamEvents = 12
	eventPause   = 100 * time.Millisecond
)

// Deadly is the body of a request that crashes each worker that begins to run it, Long that of one that takes longer than others.
const (
	Deadly = "deadly"
	Long   = "long"
)

// Run is one run of a request at a worker.
type Run struct {
	ID     string
	Body   string
	Worker string
	At     time.Time
}

// List is where workers register: a value that is nil takes a worker off the list.
type List interface {
	PutServer(id string, entry []byte)
}

// Workers are the workers of one plain service.
type Workers struct {
	service string
	list    List
	rec     *Record
	// CrashAfter is how long after its start the run of a deadly request crashes the worker.
	CrashAfter time.Duration
	mux        sync.Mutex
	runs       []Run
	all        []*worker
}

// worker is one worker; each start is a new incarnation with a new ID.
type worker struct {
	own  *Workers
	num  int
	host *hoster.Server
	// extend adds to the entry in the list; nil adds nothing.
	extend func(entry map[string]any)

	mux   sync.Mutex
	start int
	id    string
	born  int64
	seq   int
	up    bool
}

// NewWorkers returns a service without workers.
func NewWorkers(service string, list List, rec *Record) *Workers {
	return &Workers{service: service, list: list, rec: rec, CrashAfter: work}
}

// Add starts a worker at a loopback address.
func (own *Workers) Add(ip string) error {
	wor := &worker{own: own, num: len(own.all)}
	wor.host = hoster.New(ip+":0", http.HandlerFunc(wor.serve))
	own.all = append(own.all, wor)
	if err := wor.begin(); err != nil {
		return err
	}
	go wor.beat()
	return nil
}

// Runs returns all runs so far.
func (own *Workers) Runs() []Run {
	own.mux.Lock()
	defer own.mux.Unlock()
	return append([]Run(nil), own.runs...)
}

// Close ends all workers.
func (own *Workers) Close() {
	for _, wor := range own.all {
		wor.mux.Lock()
		wor.up = false
		wor.mux.Unlock()
		wor.host.Close()
	}
}

func (wor *worker) begin() error {
	if err := wor.host.Start(); err != nil {
		return err
	}
	wor.mux.Lock()
	wor.start++
	wor.id, wor.born, wor.seq, wor.up = fmt.Sprintf("i-%d-%d", wor.num, wor.start), time.Now().UnixMilli(), 0, true
	wor.mux.Unlock()
	wor.write()
	return nil
}

// write writes the worker's entry in the list.
func (wor *worker) write() {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	if !wor.up {
		return
	}
	wor.seq++
	entry := map[string]any{
		"service": wor.own.service, "addr": wor.host.Address(), "zone": fmt.Sprintf("zone-%d", wor.num%3), "version": "v1",
		"slots": slots, "state": "ready", "cold_left_ms": 0, "seq": wor.seq, "born": wor.born,
	}
	if wor.extend != nil {
		wor.extend(entry)
	}
	data, err := json.Marshal(entry)
	if err == nil {
		wor.own.list.PutServer(wor.id, data)
	}
}

func (wor *worker) beat() {
	for range time.Tick(heartbeat) {
		wor.write()
	}
}

// crash ends the worker without a word; it starts again later, and its entry lapses before.
func (wor *worker) crash() {
	wor.mux.Lock()
	id := wor.id
	wor.up = false
	wor.mux.Unlock()
	wor.own.rec.Logf("worker %s crashes", id)
	wor.host.Close()
	time.AfterFunc(lapseAfter, func() { wor.own.list.PutServer(id, nil) })
	time.AfterFunc(downFor, func() {
		if err := wor.begin(); err != nil {
			wor.own.rec.Logf("worker %d does not start again: %v", wor.num, err)
		}
	})
}

func (wor *worker) identity() string {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	return wor.id
}

func (wor *worker) serve(wtr http.ResponseWriter, req *http.Request) {
	own, id := wor.identity(), req.Header.Get("Lovagelever-Request-Id")
	head := wtr.Header()
	head.Set("Lovagelever-Instance", own)
	if want := req.Header.Get("Lovagelever-Expect-Instance"); want != "" && want != own {
		wtr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		head.Set("Lovagelever-Not-Run", "1")
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	head.Set("Lovagelever-Request-Id", id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	wor.own.mux.Lock()
	wor.own.runs = append(wor.own.runs, Run{ID: id, Body: string(body), Worker: own, At: time.Now()})
	wor.own.mux.Unlock()
	wor.own.rec.Logf("worker %s runs %s (%s) from %s", own, id, body, req.RemoteAddr)
	head.Set("Lovagelever-Stamp", "stamp."+own)
	if string(body) == Deadly {
		crash := time.AfterFunc(wor.own.CrashAfter, wor.crash)
		defer crash.Stop()
	}
	if strings.HasPrefix(req.URL.Path, StreamPath) {
		stream(wtr, req)
		return
	}
	switch string(body) {
	case Deadly:
		<-req.Context().Done()
		return
	case Long:
		time.Sleep(longWork)
	default:
		time.Sleep(work)
	}
	_, _ = io.WriteString(wtr, "done")
}

// stream sends the events that come after the last one that the caller has.
func stream(wtr http.ResponseWriter, req *http.Request) {
	wtr.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	ctl := http.NewResponseController(wtr)
	events, pause := streamEvents, eventPause
	if tokens, err := strconv.Atoi(req.Header.Get("Answer-Tokens")); err == nil {
		events, pause = tokens/tokensAnEvent, tokensAnEvent*tokenTime
	}
	for num := last + 1; num <= events; num++ {
		if _, err := fmt.Fprintf(wtr, "id: %d\ndata: event %d\n\n", num, num); err != nil || ctl.Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(pause):
		}
	}
}
