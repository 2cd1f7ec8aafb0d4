package budgeter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// buckets is into how many parts the window is cut; the window slides by one of them.
const buckets = 10

// safety is the part of the budget that is used, so that requests in flight and entries that were just added stay within it.
const safety = 0.8

// Options set the budget of one service: in any Window all entries may send Ratio repeats for each request, and Slack besides.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	Clock  clockwork.Clock
}

// Budgeter holds this entry's part of the budget of each service; it is safe for concurrent use.
type Budgeter struct {
	opt      Options
	start    time.Time
	mux      sync.Mutex
	entries  int
	services map[string]*window
}

type window struct {
	at       [buckets]int64
	requests [buckets]float64
	repeats  [buckets]float64
}

// New returns a budgeter for a single entry.
func New(opt Options) *Budgeter {
	return &Budgeter{opt: opt, start: opt.Clock.Now(), entries: 1, services: map[string]*window{}}
}

// SetBounds takes another ratio and slack.
func (bud *Budgeter) SetBounds(ratio, slack float64) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	bud.opt.Ratio, bud.opt.Slack = ratio, slack
}

// SetEntries takes how many entries share the budget, this one included.
func (bud *Budgeter) SetEntries(num int) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	bud.entries = max(1, num)
}

// Request counts a request of a caller for a service.
func (bud *Budgeter) Request(service string) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	win, pos := bud.current(service)
	win.requests[pos]++
}

// Allow takes one repeat from the budget of a service when there is one.
func (bud *Budgeter) Allow(service string) bool {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	win, pos := bud.current(service)
	requests, repeats := 0.0, 0.0
	for num := range buckets {
		requests += win.requests[num]
		repeats += win.repeats[num]
	}
	limit := safety * (bud.opt.Ratio*requests + bud.opt.Slack/float64(bud.entries))
	if repeats+1 > limit {
		return false
	}
	win.repeats[pos]++
	return true
}

// current returns the window of a service with its running bucket, and forgets what has slid out.
func (bud *Budgeter) current(service string) (*window, int) {
	win := bud.services[service]
	if win == nil {
		win = &window{}
		bud.services[service] = win
	}
	tick := int64(bud.opt.Clock.Since(bud.start))*buckets/int64(bud.opt.Window) + buckets
	for num := range buckets {
		if win.at[num] <= tick-buckets {
			win.requests[num], win.repeats[num] = 0, 0
		}
	}
	pos := int(tick % buckets)
	if win.at[pos] != tick {
		win.at[pos], win.requests[pos], win.repeats[pos] = tick, 0, 0
	}
	return win, pos
}
