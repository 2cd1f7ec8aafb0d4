package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// holds reports whether a request waits at the entry rather than at a unit, where it would delay those behind it. One that meets its objective is sent at once. Another one waits until a usual request behind it would meet the objective, while the unit has enough to read until this entry knows more. Without reports of what others have sent there, nothing is held.
func (dis *Dispatcher) holds(req Request, best candidate, level float64) bool {
	now := dis.opt.Clock.Now()
	if !best.reported || req.Objective.IsZero() || req.Resumed || !now.Before(req.HoldUntil) {
		return false
	}
	if level <= req.Objective.Sub(now).Seconds() {
		return false
	}
	if float64(best.unread) <= best.rate*dis.remoteAge().Seconds() {
		return false
	}
	return level+best.perRequest.Seconds() > req.FirstEventWithin.Seconds()
}

// extend lets a request wait longer where units are chosen by predicted times, since a late answer is better than none.
func (poo *pool) extend(req Request) Request {
	if poo.predicts() && !req.LatestStart.IsZero() && req.LatestStart.After(req.StartBy) {
		req.StartBy = req.LatestStart
	}
	return req
}

// refuseLate returns the refusal of a request whose first event no unit with a free slot sends before its deadline, or nil.
func (dis *Dispatcher) refuseLate(poo *pool, req Request) error {
	if !poo.predicts() || req.Resumed {
		return nil
	}
	list := dis.predicted(poo, req)
	if len(list) == 0 {
		return nil
	}
	earliest := slices.MinFunc(list, func(one, two candidate) int { return cmp.Compare(one.first, two.first) }).first
	left := dis.opt.Clock.Until(req.Deadline)
	if earliest <= left {
		return nil
	}
	return refuser.NotRun("no unit sends an event before the deadline"+dis.loadSummary(poo), min(max(earliest-left, queuer.MinRetryAfter), queuer.MaxRetryAfter))
}

// requeueLate moves waiting requests behind those of the same priority that can still meet their objective, once they no longer can.
func (dis *Dispatcher) requeueLate(poo *pool, now time.Time) {
	for id, wai := range poo.waiting {
		if wai.req.Late || wai.req.Objective.IsZero() || wai.req.Objective.After(now) {
			continue
		}
		wai.req.Late = true
		poo.queue.Remove(id)
		if _, err := poo.queue.Push(queueItem(wai.req)); err != nil {
			poo.refuse(id, err)
		}
	}
}
