package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/estimator"
)

const (
	// Bounds of the correction of predicted times that one request can report.
	minCorrection = 0.25
	maxCorrection = 8.0
	// startStep is how much one request changes the start delay, and maxStartDelay bounds it.
	startStep     = 2 * time.Millisecond
	maxStartDelay = 500 * time.Millisecond
	// correctionMemory is the time after which an old correction has faded to about a third.
	correctionMemory = 10 * time.Second
	// faultDelay is the delay of a first event by which a unit that fails all requests ranks behind one that fails none.
	faultDelay = 2 * time.Second
	// tieDelay is the largest random delay by which units of the same predicted time are told apart.
	tieDelay = 500 * time.Microsecond
)

// correction is the mean quotient of measured and predicted times to first events of a unit, which fades towards 1.
type correction struct {
	excess float64
	at     time.Time
}

func (cor *correction) factor(now time.Time) float64 {
	return 1 + cor.excess*math.Exp(-now.Sub(cor.at).Seconds()/correctionMemory.Seconds())
}

func (cor *correction) record(measured, predicted time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	quotient := min(maxCorrection, max(minCorrection, measured.Seconds()/predicted.Seconds()))
	old := cor.factor(now)
	cor.excess, cor.at = old+smoothingFactor*(quotient-old)-1, now
}

// predicts reports whether the times of all units of the pool can be predicted.
func (poo *pool) predicts() bool {
	return len(poo.units) > 0 && !slices.ContainsFunc(poo.units, func(sta *unitState) bool { return sta.Estimator == nil })
}

// reportsUnread reports whether other entries report the prompt tokens that are not read yet.
func (poo *pool) reportsUnread() bool {
	return slices.ContainsFunc(poo.units, func(sta *unitState) bool { return sta.remote.Unread > 0 })
}

// work returns the work of all entries on a unit now. What the other entries have reported is read meanwhile; if they report no unread tokens, those of a request are taken from the requests of this entry.
func (dis *Dispatcher) work(poo *pool, sta *unitState, reported bool, now time.Time) estimator.Work {
	wor := sta.remote
	if reported {
		read := sta.Estimator.ReadingRate(sta.own.Plus(sta.remote), sta.correction.factor(now)) * dis.remoteAge().Seconds()
		wor.Unread = max(0, wor.Unread-int(read))
	} else {
		siz := sta.Estimator.UsualRequest()
		wor.Unread = int(float64(wor.Requests) * poo.unreadPerRequest())
		wor.Committed = max(wor.Committed, wor.Requests*(siz.PromptTokens+siz.AnswerTokens))
	}
	return sta.own.Plus(wor)
}

// expect returns the time to the first event of a request on a unit if the unit is as fast as its engine's figures say.
func (dis *Dispatcher) expect(poo *pool, sta *unitState, req Request, now time.Time) time.Duration {
	wor := dis.work(poo, sta, poo.reportsUnread(), now)
	wor = poo.withoutStarting(wor, sta.Estimator.ReadingRate(wor, 1))
	return sta.Estimator.Predict(wor, req.Size, 1).FirstEvent + poo.startDelay
}

// unreadPerRequest returns the mean number of unread prompt tokens of a running request: by Little's law, the time for which its tokens are unread divided by its duration.
func (poo *pool) unreadPerRequest() float64 {
	if poo.meanDuration <= 0 {
		return 0
	}
	return poo.meanUnread / poo.meanDuration.Seconds()
}

// unseenTokens returns how many unread prompt tokens the other entries send to the pool within the age of their loads. By Little's law, tokens arrive at a rate of those unread divided by the time for which they are.
func (dis *Dispatcher) unseenTokens(poo *pool, reported bool) float64 {
	age := dis.remoteAge().Seconds()
	if !reported {
		return poo.unseen(dis.remoteAge()) * poo.unreadPerRequest()
	}
	sum := 0.0
	for _, sta := range poo.units {
		wor := sta.own.Plus(sta.remote)
		unread := poo.startDelay.Seconds() + float64(wor.Unread)/sta.Estimator.ReadingRate(wor, 1) + sta.Estimator.PassTime(wor).Seconds()
		sum += float64(sta.remote.Unread) * min(1, age/unread)
	}
	return sum
}

// predicted returns the units that can take the request, with the predicted times to its first event.
func (dis *Dispatcher) predicted(poo *pool, req Request) []candidate {
	now := dis.opt.Clock.Now()
	reported := poo.reportsUnread()
	list := poo.candidates[:0]
	for _, sta := range poo.units {
		if !dis.usable(sta, req, now) || !dis.fitsMemory(sta, req, now) {
			continue
		}
		can := dis.predict(poo, sta, req, reported, now)
		can.cost += sta.faultRate*faultDelay.Seconds() + dis.opt.Random()*tieDelay.Seconds()
		if _, limited := dis.opt.RateLimits.Limit(sta.Instance()); limited {
			can.cost -= permitBonus * can.perRequest.Seconds()
		}
		list = append(list, can)
	}
	poo.candidates = list
	return list
}

// predict returns a unit as a candidate whose cost is the time to the request's first event in seconds, and what its streams then exceed their longest event gap by.
func (dis *Dispatcher) predict(poo *pool, sta *unitState, req Request, reported bool, now time.Time) candidate {
	factor := sta.correction.factor(now)
	wor := dis.work(poo, sta, reported, now)
	rate := sta.Estimator.ReadingRate(wor, factor)
	wor = poo.withoutStarting(wor, rate)
	pre := sta.Estimator.Predict(wor, req.Size, factor)
	first := pre.FirstEvent + time.Duration(factor*float64(poo.startDelay))
	can := candidate{sta: sta, first: first, cost: first.Seconds(), unread: wor.Unread, rate: rate, reported: reported || dis.entries == 1}
	can.perRequest = time.Duration(float64(sta.Estimator.UsualRequest().PromptTokens) / rate * float64(time.Second))
	if req.MaxEventGap > 0 {
		can.cost += max(0, pre.EventInterval-req.MaxEventGap).Seconds()
	}
	return can
}

// withoutStarting takes off the prompt tokens that a unit has read already and whose first events are delayed by the start of the request.
func (poo *pool) withoutStarting(wor estimator.Work, rate float64) estimator.Work {
	wor.Unread = max(0, wor.Unread-int(rate*poo.startDelay.Seconds()))
	return wor
}

// selectFastest returns the unit for a request by the predicted time to its first event, or nil if the request is held. What other entries send unseen is distributed over the units first, as in selectUnit.
func (dis *Dispatcher) selectFastest(poo *pool, req Request) *unitState {
	list := dis.filterZones(poo, req, dis.predicted(poo, req))
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(one, two candidate) int { return cmp.Compare(one.cost, two.cost) })
	share := float64(len(list)) / float64(len(poo.units))
	unseen := dis.unseenTokens(poo, poo.reportsUnread()) * share / list[0].rate
	filled, level := equalize(list, unseen)
	if dis.holds(req, list[0], level) {
		return nil
	}
	return dis.draw(filled, level)
}

// recordFirstEvent learns from how long a first event took, and was predicted to take.
func (poo *pool) recordFirstEvent(prompt int, took, predicted time.Duration) {
	if predicted > 0 {
		poo.adjustStartDelay(took > predicted)
	}
	unread := float64(prompt) * took.Seconds()
	if poo.meanUnread == 0 {
		poo.meanUnread = unread
		return
	}
	poo.meanUnread += smoothingFactor * (unread - poo.meanUnread)
}

// adjustStartDelay follows the median of what first events take longer than the passes of the engine explain.
func (poo *pool) adjustStartDelay(longer bool) {
	if longer {
		poo.startDelay = min(maxStartDelay, poo.startDelay+startStep)
		return
	}
	poo.startDelay = max(0, poo.startDelay-startStep)
}

// FirstEvent records that the first event of the request has arrived, so that its prompt is read; further calls do nothing.
func (pla *Placement) FirstEvent() {
	if pla.dis == nil {
		return
	}
	pla.dis.recordFirstEvent(pla)
}

func (dis *Dispatcher) recordFirstEvent(pla *Placement) {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	if pla.read || pla.released {
		return
	}
	pla.read = true
	now := dis.opt.Clock.Now()
	pla.sta.own.Unread -= pla.size.PromptTokens
	pla.sta.correction.record(now.Sub(pla.since), pla.predicted, now)
	if poo := dis.pools[pla.pool]; poo != nil {
		poo.recordFirstEvent(pla.size.PromptTokens, now.Sub(pla.since), pla.predicted)
		dis.dispatchWaiting(poo)
	}
}

// Corrections returns the largest factor by which first events of each pool's units take longer than predicted, by pool name.
func (dis *Dispatcher) Corrections() map[string]float64 {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	now := dis.opt.Clock.Now()
	out := map[string]float64{}
	for name, poo := range dis.pools {
		for _, sta := range poo.units {
			if sta.Estimator != nil {
				out[name] = max(out[name], sta.correction.factor(now))
			}
		}
	}
	return out
}

// Predicted returns the time to the first event that was predicted when the slot was allocated, zero if unknown.
func (pla *Placement) Predicted() time.Duration {
	return time.Duration(float64(pla.predicted) * pla.factor)
}
