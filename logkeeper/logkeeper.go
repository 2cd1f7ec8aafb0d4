package logkeeper

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/disturber"
)

// Options set up a log; a zero retention keeps every record.
type Options struct {
	Clock         clockwork.Clock
	RetainRecords int
	RetainFor     time.Duration
}

// Faults are the faults of the log service; LoseAnswers counts the next appends whose answers are lost.
type Faults struct {
	disturber.Faults
	LoseAnswers   int  `json:"lose_answers,omitempty"`
	RefuseAppends bool `json:"refuse_appends,omitempty"`
}

type record struct {
	at   time.Time
	data []byte
}

// Keeper is an append-only log in memory.
type Keeper struct {
	opt  Options
	dis  *disturber.Disturber
	mut  sync.Mutex
	flt  Faults
	recs []record
	// first is the offset of recs[0].
	first  int64
	latest time.Time
	grown  chan struct{}

	reads   atomic.Int64
	appends atomic.Int64
}

// New makes an empty log.
func New(opt Options) *Keeper {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	return &Keeper{opt: opt, dis: disturber.New(opt.Clock), first: 1, grown: make(chan struct{})}
}

// Handler serves the log and its faults over HTTP.
func (kpr *Keeper) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("POST /v1/records", kpr.serveAppend)
	calls.HandleFunc("GET /v1/records", kpr.serveRead)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.Endpoint(kpr.faults, kpr.setFaults))
	mux.HandleFunc("GET /v1/counts", kpr.serveCounts)
	mux.Handle("/", kpr.dis.Wrap(calls))
	return mux
}

func (kpr *Keeper) faults() Faults {
	kpr.mut.Lock()
	defer kpr.mut.Unlock()
	return kpr.flt
}

func (kpr *Keeper) setFaults(flt Faults) error {
	kpr.mut.Lock()
	kpr.flt = flt
	kpr.mut.Unlock()
	return kpr.dis.Set(flt.Faults)
}

func (kpr *Keeper) append(data []byte) int64 {
	now := kpr.opt.Clock.Now()
	if now.Before(kpr.latest) {
		now = kpr.latest
	}
	kpr.latest = now
	kpr.recs = append(kpr.recs, record{at: now, data: data})
	kpr.expire()
	close(kpr.grown)
	kpr.grown = make(chan struct{})
	return kpr.next() - 1
}

func (kpr *Keeper) expire() {
	drop := 0
	if kpr.opt.RetainRecords > 0 {
		drop = max(0, len(kpr.recs)-kpr.opt.RetainRecords)
	}
	if kpr.opt.RetainFor > 0 {
		oldest := kpr.opt.Clock.Now().Add(-kpr.opt.RetainFor)
		for drop < len(kpr.recs) && kpr.recs[drop].at.Before(oldest) {
			drop++
		}
	}
	kpr.recs = kpr.recs[drop:]
	kpr.first += int64(drop)
}

func (kpr *Keeper) next() int64 {
	return kpr.first + int64(len(kpr.recs))
}
