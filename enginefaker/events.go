package enginefaker

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const (
	eventStored   = "stored"
	eventEvicted  = "evicted"
	eventLossRate = 0.05
	maxEvents     = 10000
)

type event struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	at     time.Time
}

type eventList struct {
	Next   int64   `json:"next"`
	Events []event `json:"events"`
}

func (eng *engine) publish(evs []event) {
	for _, evt := range evs {
		eng.eventSeq++
		if eng.sim.rnd.Float64() < eventLossRate {
			continue
		}
		evt.Seq, evt.at = eng.eventSeq, eng.sim.opt.Clock.Now()
		eng.events = append(eng.events, evt)
	}
	eng.events = eng.events[max(0, len(eng.events)-maxEvents):]
}

func (eng *engine) serveEvents(wtr http.ResponseWriter, req *http.Request) {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, errors.NewNotValid(err, "enginefaker: query parameter from"))
		return
	}
	jsoncoder.Write(wtr, http.StatusOK, eng.eventsFrom(from))
}

func (eng *engine) eventsFrom(from int64) eventList {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	latest := eng.sim.opt.Clock.Now().Add(-eng.sim.opt.ReportLag)
	out := eventList{Next: max(from, 1), Events: []event{}}
	for _, evt := range eng.events {
		if evt.Seq < from || evt.at.After(latest) {
			continue
		}
		out.Events = append(out.Events, evt)
		out.Next = evt.Seq + 1
	}
	return out
}
