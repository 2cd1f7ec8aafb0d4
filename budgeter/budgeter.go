package budgeter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// bucketCount is the number of buckets of the sliding window, which moves by one bucket at a time.
const bucketCount = 10

// safetyFactor is the part of the budget that is used; the rest covers requests in flight and entries that were just added.
const safetyFactor = 0.8

// Options set the budget of each service: in any Window, all entries together may send Ratio retries per request plus Slack retries.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	Clock  clockwork.Clock
}

// Budgeter holds this entry's part of the retry budget of each service; it is safe for concurrent use.
type Budgeter struct {
	opt      Options
	start    time.Time
	mux      sync.Mutex
	entries  int
	services map[string]*window
}

type window struct {
	ticks    [bucketCount]int64
	requests [bucketCount]float64
	retries  [bucketCount]float64
}

// New returns a budgeter for a single entry; SetEntries changes their number.
func New(opt Options) *Budgeter {
	return &Budgeter{opt: opt, start: opt.Clock.Now(), entries: 1, services: map[string]*window{}}
}

// SetBounds changes Ratio and Slack.
func (bud *Budgeter) SetBounds(ratio, slack float64) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	bud.opt.Ratio, bud.opt.Slack = ratio, slack
}

// SetEntries sets how many entries share the budget, including this one.
func (bud *Budgeter) SetEntries(num int) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	bud.entries = max(1, num)
}

// RecordRequest counts one request of a caller to the service, which adds Ratio retries to the budget.
func (bud *Budgeter) RecordRequest(service string) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	win, pos := bud.currentBucket(service)
	win.requests[pos]++
}

// Allow takes one retry from the budget of the service, or returns false if the budget is used up.
func (bud *Budgeter) Allow(service string) bool {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	win, pos := bud.currentBucket(service)
	requests, retries := 0.0, 0.0
	for num := range bucketCount {
		requests += win.requests[num]
		retries += win.retries[num]
	}
	limit := safetyFactor * (bud.opt.Ratio*requests + bud.opt.Slack/float64(bud.entries))
	if retries+1 > limit {
		return false
	}
	win.retries[pos]++
	return true
}

// Return gives back a retry that Allow has granted and that was not sent.
func (bud *Budgeter) Return(service string) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	win, pos := bud.currentBucket(service)
	for range bucketCount {
		if win.retries[pos] > 0 {
			win.retries[pos]--
			return
		}
		pos = (pos + bucketCount - 1) % bucketCount
	}
}

// currentBucket returns the window of a service and the index of its current bucket, and clears the buckets that have left the window.
func (bud *Budgeter) currentBucket(service string) (*window, int) {
	win := bud.services[service]
	if win == nil {
		win = &window{}
		bud.services[service] = win
	}
	tick := int64(bud.opt.Clock.Since(bud.start))*bucketCount/int64(bud.opt.Window) + bucketCount
	for num := range bucketCount {
		if win.ticks[num] <= tick-bucketCount {
			win.requests[num], win.retries[num] = 0, 0
		}
	}
	pos := int(tick % bucketCount)
	if win.ticks[pos] != tick {
		win.ticks[pos], win.requests[pos], win.retries[pos] = tick, 0, 0
	}
	return win, pos
}
