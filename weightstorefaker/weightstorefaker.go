package weightstorefaker

import (
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/jsoncoder"
)

const defaultRate = 10

// Options configure a weight store; all transfers share the rate GigabytesPerSecond.
type Options struct {
	Clock              clockwork.Clock
	GigabytesPerSecond float64
}

// Store schedules weight transfers one after another, in the order of their requests.
type Store struct {
	opt    Options
	dis    *disturber.FaultInjector
	mut    sync.Mutex
	freeAt time.Time
}

type leaseRequest struct {
	VM        string  `json:"vm"`
	Gigabytes float64 `json:"gigabytes"`
}

type leaseAnswer struct {
	WaitMS int64 `json:"wait_ms"`
}

type loadAnswer struct {
	GigabytesPerSecond float64 `json:"gigabytes_per_second"`
	QueuedGigabytes    float64 `json:"queued_gigabytes"`
}

// New returns a weight store without queued transfers.
func New(opt Options) *Store {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.GigabytesPerSecond <= 0 {
		opt.GigabytesPerSecond = defaultRate
	}
	return &Store{opt: opt, dis: disturber.New(opt.Clock)}
}

// Handler returns the HTTP handler of the weight store and its faults.
func (sto *Store) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("POST /v1/leases", sto.serveLease)
	calls.HandleFunc("GET /v1/leases", sto.serveLoad)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.FaultsHandler(sto.dis.Faults, sto.dis.SetFaults))
	mux.Handle("/", sto.dis.Wrap(calls))
	return mux
}

func (sto *Store) serveLease(wtr http.ResponseWriter, req *http.Request) {
	lea, err := jsoncoder.Read[leaseRequest](req)
	if err == nil && lea.Gigabytes < 0 {
		err = errors.NotValidf("weightstorefaker: %g gigabytes", lea.Gigabytes)
	}
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, leaseAnswer{WaitMS: sto.reserve(lea.Gigabytes).Milliseconds()})
}

func (sto *Store) serveLoad(wtr http.ResponseWriter, _ *http.Request) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	left := max(0, sto.freeAt.Sub(sto.opt.Clock.Now()).Seconds())
	rate := sto.opt.GigabytesPerSecond
	jsoncoder.Write(wtr, http.StatusOK, loadAnswer{GigabytesPerSecond: rate, QueuedGigabytes: left * rate})
}

func (sto *Store) reserve(gigabytes float64) time.Duration {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	now := sto.opt.Clock.Now()
	if sto.freeAt.Before(now) {
		sto.freeAt = now
	}
	wait := sto.freeAt.Sub(now)
	sto.freeAt = sto.freeAt.Add(time.Duration(gigabytes / sto.opt.GigabytesPerSecond * float64(time.Second)))
	return wait
}
