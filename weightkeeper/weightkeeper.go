package weightkeeper

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

// Options set up a weight store; all transfers share the rate.
type Options struct {
	Clock              clockwork.Clock
	GigabytesPerSecond float64
}

// Keeper hands out transfers of weights in first-come order.
type Keeper struct {
	opt  Options
	dis  *disturber.Disturber
	mut  sync.Mutex
	free time.Time
}

type lease struct {
	VM        string  `json:"vm"`
	Gigabytes float64 `json:"gigabytes"`
}

type leased struct {
	WaitMS int64 `json:"wait_ms"`
}

type load struct {
	GigabytesPerSecond float64 `json:"gigabytes_per_second"`
	QueuedGigabytes    float64 `json:"queued_gigabytes"`
}

// New makes a weight store without transfers.
func New(opt Options) *Keeper {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	if opt.GigabytesPerSecond <= 0 {
		opt.GigabytesPerSecond = defaultRate
	}
	return &Keeper{opt: opt, dis: disturber.New(opt.Clock)}
}

// Handler serves the weight store and its faults over HTTP.
func (kpr *Keeper) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("POST /v1/leases", kpr.serveLease)
	calls.HandleFunc("GET /v1/leases", kpr.serveLoad)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.Endpoint(kpr.dis.Faults, kpr.dis.Set))
	mux.Handle("/", kpr.dis.Wrap(calls))
	return mux
}

func (kpr *Keeper) serveLease(wtr http.ResponseWriter, req *http.Request) {
	lea, err := jsoncoder.Read[lease](req)
	if err == nil && lea.Gigabytes < 0 {
		err = errors.NotValidf("weightkeeper: %g gigabytes", lea.Gigabytes)
	}
	if err != nil {
		jsoncoder.Fail(wtr, http.StatusBadRequest, err)
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, leased{WaitMS: kpr.reserve(lea.Gigabytes).Milliseconds()})
}

func (kpr *Keeper) serveLoad(wtr http.ResponseWriter, _ *http.Request) {
	kpr.mut.Lock()
	defer kpr.mut.Unlock()
	left := max(0, kpr.free.Sub(kpr.opt.Clock.Now()).Seconds())
	rate := kpr.opt.GigabytesPerSecond
	jsoncoder.Write(wtr, http.StatusOK, load{GigabytesPerSecond: rate, QueuedGigabytes: left * rate})
}

func (kpr *Keeper) reserve(gigabytes float64) time.Duration {
	kpr.mut.Lock()
	defer kpr.mut.Unlock()
	now := kpr.opt.Clock.Now()
	if kpr.free.Before(now) {
		kpr.free = now
	}
	wait := kpr.free.Sub(now)
	kpr.free = kpr.free.Add(time.Duration(gigabytes / kpr.opt.GigabytesPerSecond * float64(time.Second)))
	return wait
}
