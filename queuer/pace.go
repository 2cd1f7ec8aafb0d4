package queuer

import (
	"time"

	"github.com/lovagelever/lovagelever/refuser"
)

// Bounds of the delay that RetryAfter returns.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// serviceRate is the measured rate of the unit: the cost served per second by one slot, and the number of slots.
type serviceRate struct {
	costPerSecond float64
	slots         int
}

// RecordCompletion updates the measured service rate with the cost and duration of a completed request.
func (que *Queue) RecordCompletion(cost float64, took time.Duration) {
	if cost <= 0 || took <= 0 {
		return
	}
	speed := cost / took.Seconds()
	if que.rate.costPerSecond == 0 {
		que.rate.costPerSecond = speed
		return
	}
	que.rate.costPerSecond += (speed - que.rate.costPerSecond) / 16
}

// SetSlots sets how many requests the unit runs concurrently.
func (que *Queue) SetSlots(num int) {
	que.rate.slots = num
}

// EstimateWait estimates how long a request would wait; known is false until the service rate has been measured and slots are set.
func (que *Queue) EstimateWait(itm Item) (wait time.Duration, known bool) {
	if que.rate.costPerSecond == 0 || que.rate.slots <= 0 {
		return 0, false
	}
	return secondsToDuration(que.costAhead(itm) / (que.rate.costPerSecond * float64(que.rate.slots))), true
}

// RetryAfter returns the delay after which the queue may accept the request: its estimated wait, limited to MinRetryAfter and MaxRetryAfter.
func (que *Queue) RetryAfter(itm Item) time.Duration {
	wait, _ := que.EstimateWait(itm)
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}

// costAhead returns the cost that priorities and weights place ahead of the request.
func (que *Queue) costAhead(itm Item) float64 {
	higherCost, sameCost, ownCost := 0.0, 0.0, 0.0
	weights := max(1, itm.Weight)
	for key, flo := range que.flows {
		switch {
		case len(flo.entries) == 0 || key.priority < itm.Priority:
		case key.priority > itm.Priority:
			higherCost += flo.totalCost
		case key.workspace == itm.Workspace && key.lane == itm.Lane:
			ownCost = flo.totalCost
			sameCost += flo.totalCost
		default:
			weights += flo.weight()
			sameCost += flo.totalCost
		}
	}
	fairCost := ownCost * float64(weights) / float64(max(1, itm.Weight))
	return higherCost + min(sameCost, fairCost)
}

// checkDeadlines refuses a request that cannot start by StartBy or finish by Deadline.
func (que *Queue) checkDeadlines(itm Item) error {
	now := que.opt.Clock.Now()
	if reached(itm.StartBy, now) || reached(itm.Deadline, now) {
		return refuser.NotRun("the deadline has passed", 0)
	}
	wait, known := que.EstimateWait(itm)
	if !known {
		return nil
	}
	if reached(itm.StartBy, now.Add(wait)) {
		return refuser.NotRun("the request would wait too long", que.RetryAfter(itm))
	}
	if reached(itm.Deadline, now.Add(wait+secondsToDuration(itm.Cost/que.rate.costPerSecond)-1)) {
		return refuser.NotRun("the request cannot finish before its deadline", que.RetryAfter(itm))
	}
	return nil
}

// reached reports whether a non-zero bound is at or before now.
func reached(bound, now time.Time) bool {
	return !bound.IsZero() && !bound.After(now)
}

func secondsToDuration(val float64) time.Duration {
	return time.Duration(min(val, 1e6) * float64(time.Second))
}
