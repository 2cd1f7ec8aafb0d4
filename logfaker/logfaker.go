package logfaker

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/disturber"
)

// Options configure a log; a zero RetainRecords or RetainFor sets no bound on the number or the age of the records.
type Options struct {
	Clock         clockwork.Clock
	RetainRecords int
	RetainFor     time.Duration
}

// Faults are the faults of the log service; LoseAnswers is the number of next appends that are stored but get no answer.
type Faults struct {
	disturber.Faults
	LoseAnswers   int  `json:"lose_answers,omitempty"`
	RefuseAppends bool `json:"refuse_appends,omitempty"`
}

type record struct {
	at   time.Time
	data []byte
}

// Log is an append-only log in memory.
type Log struct {
	opt     Options
	dis     *disturber.FaultInjector
	mut     sync.Mutex
	flt     Faults
	records []record
	// firstOffset is the offset of records[0].
	firstOffset  int64
	latestTime   time.Time
	appendSignal chan struct{}

	reads   atomic.Int64
	appends atomic.Int64
}

// New returns an empty log whose first offset is 1.
func New(opt Options) *Log {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	return &Log{opt: opt, dis: disturber.New(opt.Clock), firstOffset: 1, appendSignal: make(chan struct{})}
}

// Handler returns the HTTP handler of the log, its faults and its counts.
func (log *Log) Handler() http.Handler {
	calls := http.NewServeMux()
	calls.HandleFunc("POST /v1/records", log.serveAppend)
	calls.HandleFunc("GET /v1/records", log.serveRead)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", disturber.FaultsHandler(log.faults, log.setFaults))
	mux.HandleFunc("GET /v1/counts", log.serveCounts)
	mux.Handle("/", log.dis.Wrap(calls))
	return mux
}

func (log *Log) faults() Faults {
	log.mut.Lock()
	defer log.mut.Unlock()
	return log.flt
}

func (log *Log) setFaults(flt Faults) error {
	log.mut.Lock()
	log.flt = flt
	log.mut.Unlock()
	return log.dis.SetFaults(flt.Faults)
}

func (log *Log) append(data []byte) int64 {
	now := log.opt.Clock.Now()
	if now.Before(log.latestTime) {
		now = log.latestTime
	}
	log.latestTime = now
	log.records = append(log.records, record{at: now, data: data})
	log.expire()
	close(log.appendSignal)
	log.appendSignal = make(chan struct{})
	return log.nextOffset() - 1
}

func (log *Log) expire() {
	drop := 0
	if log.opt.RetainRecords > 0 {
		drop = max(0, len(log.records)-log.opt.RetainRecords)
	}
	if log.opt.RetainFor > 0 {
		oldest := log.opt.Clock.Now().Add(-log.opt.RetainFor)
		for drop < len(log.records) && log.records[drop].at.Before(oldest) {
			drop++
		}
	}
	log.records = log.records[drop:]
	log.firstOffset += int64(drop)
}

func (log *Log) nextOffset() int64 {
	return log.firstOffset + int64(len(log.records))
}
