package slocounter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
)

// The reported windows: the first pair shows a fast burn of the error budget, the second a slow one.
const (
	WindowFast     = 5 * time.Minute
	WindowFastLong = time.Hour
	WindowSlow     = 30 * time.Minute
	WindowSlowLong = 6 * time.Hour
)

const (
	fineBucket      = 10 * time.Second
	coarseBucket    = time.Minute
	fineRetention   = WindowFastLong
	coarseRetention = WindowSlowLong
)

// Windows returns the windows of a report in the order of its columns.
func Windows() []time.Duration {
	return []time.Duration{WindowFast, WindowFastLong, WindowSlow, WindowSlowLong}
}

// Count is the number of requests in a window; Good is the number that met their objective.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// SeriesCounts holds one entry's counts for a workspace and class, keyed by window in the notation of time.Duration.
type SeriesCounts struct {
	Workspace string           `json:"workspace"`
	Class     string           `json:"class"`
	Windows   map[string]Count `json:"windows"`
}

// Result is the outcome of a request; durations are measured from its arrival, and FirstToken is zero if there was no token.
type Result struct {
	Complete   bool
	FirstToken time.Duration
	Duration   time.Duration
}

// Counter counts the requests of one entry; it is safe for concurrent use.
type Counter struct {
	clk    clockwork.Clock
	mtx    sync.Mutex
	series map[seriesKey]*series
}

type seriesKey struct {
	workspace string
	class     string
}

type series struct {
	fine   ring
	coarse ring
}

// New returns an SLO counter without counts.
func New(clk clockwork.Clock) *Counter {
	return &Counter{clk: clk, series: map[seriesKey]*series{}}
}

// Add counts a request against the objective of its workspace and class.
func (bur *Counter) Add(workspace, class string, obj cataloger.Objective, res Result) {
	now := bur.clk.Now()
	good := meetsObjective(obj, res)
	bur.mtx.Lock()
	defer bur.mtx.Unlock()
	ser := bur.series[seriesKey{workspace: workspace, class: class}]
	if ser == nil {
		ser = &series{fine: newRing(fineBucket, fineRetention), coarse: newRing(coarseBucket, coarseRetention)}
		bur.series[seriesKey{workspace: workspace, class: class}] = ser
	}
	ser.fine.add(now, good)
	ser.coarse.add(now, good)
}

// Counts returns the current counts of every workspace and class, in all windows.
func (bur *Counter) Counts() []SeriesCounts {
	now := bur.clk.Now()
	bur.mtx.Lock()
	defer bur.mtx.Unlock()
	out := []SeriesCounts{}
	for id, ser := range bur.series {
		lin := SeriesCounts{Workspace: id.workspace, Class: id.class, Windows: map[string]Count{}}
		for _, win := range Windows() {
			lin.Windows[win.String()] = ser.sum(now, win)
		}
		out = append(out, lin)
	}
	return out
}

func (ser *series) sum(now time.Time, win time.Duration) Count {
	if win <= fineRetention {
		return ser.fine.sum(now, win)
	}
	return ser.coarse.sum(now, win)
}

func meetsObjective(obj cataloger.Objective, res Result) bool {
	if !res.Complete {
		return false
	}
	if obj.FirstTokenIn > 0 && res.FirstToken > time.Duration(obj.FirstTokenIn) {
		return false
	}
	return obj.CompleteIn == 0 || res.Duration <= time.Duration(obj.CompleteIn)
}
