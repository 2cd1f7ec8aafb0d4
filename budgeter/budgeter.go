package budgeter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// bucketCount is the number of buckets of the sliding window, which moves by one bucket at a time.
const bucketCount = 10

// earnedRatio and earnedSlack are the parts of the budget that are earned over a window. The rest is what may be saved up before it, so that all that is spent in a window is within the budget whatever processes have spent it. At hundreds of entries half of a part of the slack is just one retry.
const (
	earnedRatio = 0.8
	earnedSlack = 0.5
)

// Options set the budget of each service: in any Window, all entries together may send Ratio retries per request plus Slack retries.
type Options struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	Clock  clockwork.Clock
}

// Budgeter holds this entry's part of the retry budget of each service; it is safe for concurrent use. It begins with nothing, since what the process before it has spent still counts.
type Budgeter struct {
	opt   Options
	start time.Time
	mux   sync.Mutex
	// entries is how many entries share the slack, 0 until that is known.
	entries  int
	services map[string]*account
}

// account holds the retries that were earned for a service and not spent, and the requests in the window.
type account struct {
	balance  float64
	earnedAt time.Time
	ticks    [bucketCount]int64
	requests [bucketCount]float64
}

// New returns a budgeter that has no part of the slack until SetEntries is called.
func New(opt Options) *Budgeter {
	return &Budgeter{opt: opt, start: opt.Clock.Now(), services: map[string]*account{}}
}

// SetBounds changes Ratio and Slack.
func (bud *Budgeter) SetBounds(ratio, slack float64) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	bud.opt.Ratio, bud.opt.Slack = ratio, slack
}

// SetEntries sets how many entries share the slack, including this one, whether they run or not.
func (bud *Budgeter) SetEntries(num int) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	for _, acc := range bud.services {
		bud.earn(acc)
	}
	bud.entries = max(1, num)
}

// RecordRequest counts one request of a caller to the service, which adds Ratio retries to the budget.
func (bud *Budgeter) RecordRequest(service string) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	acc := bud.account(service)
	acc.requests[bud.currentBucket(acc)]++
	acc.balance += earnedRatio * bud.opt.Ratio
}

// Allow takes one retry from the budget of the service, or returns false if the budget is used up.
func (bud *Budgeter) Allow(service string) bool {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	acc := bud.account(service)
	acc.balance = min(acc.balance, bud.limit(acc))
	if acc.balance < 1 {
		return false
	}
	acc.balance--
	return true
}

// Return gives back a retry that Allow has granted and that was not sent.
func (bud *Budgeter) Return(service string) {
	bud.mux.Lock()
	defer bud.mux.Unlock()
	bud.account(service).balance++
}

// account returns the account of a service with all that it has earned.
func (bud *Budgeter) account(service string) *account {
	acc := bud.services[service]
	if acc == nil {
		acc = &account{earnedAt: bud.start}
		bud.services[service] = acc
	}
	bud.earn(acc)
	return acc
}

// slack returns this entry's part of the slack.
func (bud *Budgeter) slack() float64 {
	if bud.entries == 0 {
		return 0
	}
	return bud.opt.Slack / float64(bud.entries)
}

// earn adds this entry's part of the slack for the time that has passed.
func (bud *Budgeter) earn(acc *account) {
	now := bud.opt.Clock.Now()
	windows := now.Sub(acc.earnedAt).Seconds() / bud.opt.Window.Seconds()
	acc.balance += earnedSlack * windows * bud.slack()
	acc.earnedAt = now
	acc.balance = min(acc.balance, bud.limit(acc))
}

// limit returns how many retries may be saved up.
func (bud *Budgeter) limit(acc *account) float64 {
	bud.currentBucket(acc)
	requests := 0.0
	for _, num := range acc.requests {
		requests += num
	}
	return (1-earnedRatio)*bud.opt.Ratio*requests + (1-earnedSlack)*bud.slack()
}

// currentBucket returns the index of the account's current bucket, and clears the buckets that have left the window.
func (bud *Budgeter) currentBucket(acc *account) int {
	tick := int64(bud.opt.Clock.Since(bud.start))*bucketCount/int64(bud.opt.Window) + bucketCount
	for num := range bucketCount {
		if acc.ticks[num] <= tick-bucketCount {
			acc.requests[num] = 0
		}
	}
	pos := int(tick % bucketCount)
	if acc.ticks[pos] != tick {
		acc.ticks[pos], acc.requests[pos] = tick, 0
	}
	return pos
}
