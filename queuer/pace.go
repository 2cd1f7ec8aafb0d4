package queuer

import (
	"time"

	"github.com/lovagelever/lovagelever/refuser"
)

// Bounds of the advice when to try again.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
)

// pace is the measured service rate: the cost per second of one place, and the places.
type pace struct {
	speed float64
	slots int
}

// Served learns from a request that ran to its end.
func (que *Queue) Served(cost float64, took time.Duration) {
	if cost <= 0 || took <= 0 {
		return
	}
	speed := cost / took.Seconds()
	if que.pace.speed == 0 {
		que.pace.speed = speed
		return
	}
	que.pace.speed += (speed - que.pace.speed) / 16
}

// SetSlots sets how many requests run at once.
func (que *Queue) SetSlots(num int) {
	que.pace.slots = num
}

// Wait estimates how long a request would wait; known is false before anything was measured.
func (que *Queue) Wait(itm Item) (wait time.Duration, known bool) {
	if que.pace.speed == 0 || que.pace.slots <= 0 {
		return 0, false
	}
	return seconds(que.ahead(itm) / (que.pace.speed * float64(que.pace.slots))), true
}

// RetryAfter says when the queue may have room for a request, worked out from its load.
func (que *Queue) RetryAfter(itm Item) time.Duration {
	wait, _ := que.Wait(itm)
	return min(max(wait, MinRetryAfter), MaxRetryAfter)
}

// ahead is the cost that is served before the request under priorities and weights.
func (que *Queue) ahead(itm Item) float64 {
	higher, same, own := 0.0, 0.0, 0.0
	weights := max(1, itm.Weight)
	for key, flo := range que.flows {
		switch {
		case len(flo.entries) == 0 || key.priority < itm.Priority:
		case key.priority > itm.Priority:
			higher += flo.cost
		case key.workspace == itm.Workspace && key.lane == itm.Lane:
			own = flo.cost
			same += flo.cost
		default:
			weights += flo.weight()
			same += flo.cost
		}
	}
	fair := own * float64(weights) / float64(max(1, itm.Weight))
	return higher + min(same, fair)
}

// checkTime refuses what cannot start or finish in time.
func (que *Queue) checkTime(itm Item) error {
	now := que.opt.Clock.Now()
	if passed(itm.StartBy, now) || passed(itm.Deadline, now) {
		return refuser.NotRun("the deadline has passed", 0)
	}
	wait, known := que.Wait(itm)
	if !known {
		return nil
	}
	if passed(itm.StartBy, now.Add(wait)) {
		return refuser.NotRun("the request would wait too long", que.RetryAfter(itm))
	}
	if passed(itm.Deadline, now.Add(wait+seconds(itm.Cost/que.pace.speed)-1)) {
		return refuser.NotRun("the request cannot finish before its deadline", que.RetryAfter(itm))
	}
	return nil
}

// passed reports whether a bound that is set lies at or before a time.
func passed(bound, now time.Time) bool {
	return !bound.IsZero() && !bound.After(now)
}

func seconds(val float64) time.Duration {
	return time.Duration(min(val, 1e6) * float64(time.Second))
}
