package burner

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/cataloger"
)

// The windows that are reported; a fast burn shows in the first pair, a slow one in the second.
const (
	WindowFast     = 5 * time.Minute
	WindowFastLong = time.Hour
	WindowSlow     = 30 * time.Minute
	WindowSlowLong = 6 * time.Hour
)

const (
	fineBucket   = 10 * time.Second
	coarseBucket = time.Minute
	fineKept     = WindowFastLong
	coarseKept   = WindowSlowLong
)

// Windows are the windows of a report, in the order of its columns.
func Windows() []time.Duration {
	return []time.Duration{WindowFast, WindowFastLong, WindowSlow, WindowSlowLong}
}

// Count sums the requests of a window; Good are those that met their objective.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// Line is what one entry counted for a workspace and a class, by window in the notation of time.Duration.
type Line struct {
	Workspace string           `json:"workspace"`
	Class     string           `json:"class"`
	Windows   map[string]Count `json:"windows"`
}

// Result is how a request ended; durations are counted from its arrival, and FirstToken is zero where there is none.
type Result struct {
	Whole      bool
	FirstToken time.Duration
	Took       time.Duration
}

// Burner counts for one entry; it is safe for concurrent use.
type Burner struct {
	clk    clockwork.Clock
	mtx    sync.Mutex
	series map[key]*series
}

type key struct {
	workspace string
	class     string
}

type series struct {
	fine   ring
	coarse ring
}

// New returns a burner that has counted nothing.
func New(clk clockwork.Clock) *Burner {
	return &Burner{clk: clk, series: map[key]*series{}}
}

// Add counts a request against the objective of its workspace and class.
func (bur *Burner) Add(workspace, class string, obj cataloger.Objective, res Result) {
	now := bur.clk.Now()
	good := meets(obj, res)
	bur.mtx.Lock()
	defer bur.mtx.Unlock()
	one := bur.series[key{workspace: workspace, class: class}]
	if one == nil {
		one = &series{fine: newRing(fineBucket, fineKept), coarse: newRing(coarseBucket, coarseKept)}
		bur.series[key{workspace: workspace, class: class}] = one
	}
	one.fine.add(now, good)
	one.coarse.add(now, good)
}

// Lines returns the counts of all windows.
func (bur *Burner) Lines() []Line {
	now := bur.clk.Now()
	bur.mtx.Lock()
	defer bur.mtx.Unlock()
	out := []Line{}
	for id, one := range bur.series {
		lin := Line{Workspace: id.workspace, Class: id.class, Windows: map[string]Count{}}
		for _, win := range Windows() {
			lin.Windows[win.String()] = one.sum(now, win)
		}
		out = append(out, lin)
	}
	return out
}

func (ser *series) sum(now time.Time, win time.Duration) Count {
	if win <= fineKept {
		return ser.fine.sum(now, win)
	}
	return ser.coarse.sum(now, win)
}

func meets(obj cataloger.Objective, res Result) bool {
	if !res.Whole {
		return false
	}
	if obj.FirstTokenIn > 0 && res.FirstToken > time.Duration(obj.FirstTokenIn) {
		return false
	}
	return obj.WholeIn == 0 || res.Took <= time.Duration(obj.WholeIn)
}
