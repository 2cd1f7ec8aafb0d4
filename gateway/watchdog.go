package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/router"
)

// watchdog requests a check of the unit when its stream falls silent, asks for a hedge when it stays silent, the unit is suspected or the entry reaches no unit, and cancels the attempt when the unit is broken.
type watchdog struct {
	clk             clockwork.Clock
	suspect         func()
	markAlive       func()
	linksLost       func() bool
	hedge           *hedge
	firstCheckAfter time.Duration
	checkAfter      time.Duration
	hedgeAfter      time.Duration
	done            chan struct{}

	mux        sync.Mutex
	timer      clockwork.Timer
	firstEvent time.Time
	lastEvent  time.Time
	sawEvent   bool
	// suspected says that the unit was suspected after the attempt began.
	suspected bool
	// paused says that the entry does not read the stream at present.
	paused bool
}

// watch starts the watchdog for an attempt.
func (rel *relay) watch(att *attempt, hed *hedge) *watchdog {
	pla := att.placement
	now := rel.gat.opt.Clock.Now()
	wat := &watchdog{
		clk:             rel.gat.opt.Clock,
		suspect:         func() { rel.gat.opt.Detector.CheckUnit(pla.Unit.ID) },
		markAlive:       func() { rel.gat.opt.Detector.RecordActivity(pla.Unit.ID) },
		linksLost:       rel.linksLost,
		hedge:           hed,
		firstCheckAfter: time.Duration(float64(rel.rou.Objective) * firstEventCheckShare),
		checkAfter:      time.Duration(float64(rel.rou.MaxEventGap) * pauseCheckShare),
		hedgeAfter:      hedgeAfter(rel.rou),
		done:            make(chan struct{}),
		firstEvent:      now,
		lastEvent:       now,
	}
	if pla.Unit.Entry != "" {
		wat.suspect, wat.markAlive, wat.linksLost = func() {}, func() {}, func() bool { return false }
	}
	if wat.checkAfter <= 0 {
		wat.checkAfter = wat.firstCheckAfter
	}
	wat.mux.Lock()
	wat.timer = wat.clk.AfterFunc(wat.firstCheckAfter, wat.onSilence)
	wat.mux.Unlock()
	go wat.awaitFailure(pla, att.cancel)
	return wat
}

// awaitFailure cancels the attempt when its unit is broken, and asks for a hedge when its unit is suspected and the stream is silent.
func (wat *watchdog) awaitFailure(pla *dispatcher.Placement, cancel context.CancelCauseFunc) {
	suspected := pla.Suspected
	for {
		select {
		case <-suspected:
			suspected = nil
			wat.onSuspicion()
		case <-pla.Broken:
			cancel(errUnitBroken)
			return
		case <-wat.done:
			return
		}
	}
}

func (wat *watchdog) onSuspicion() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	wat.suspected = true
	if !wat.isDone() && !wat.paused && wat.clk.Since(wat.lastEvent) >= wat.checkAfter {
		wat.hedge.start()
	}
}

// hedgeAfter returns how long a stream of a route may be silent before it is requested from a second unit: callers must still be there when that one has begun.
func hedgeAfter(rou router.Route) time.Duration {
	patience := max(callerPatience, patienceObjectives*rou.Objective, patiencePauses*rou.MaxEventGap)
	return patience - resumeMargin
}

// noteEvent records that the unit sent an event, ends the hedge and restarts the timer.
func (wat *watchdog) noteEvent() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	now := wat.clk.Now()
	if !wat.sawEvent {
		wat.sawEvent, wat.firstEvent = true, now
	}
	wat.lastEvent = now
	wat.hedge.abandon()
	wat.timer.Reset(wat.checkAfter)
	wat.markAlive()
}

// onSilence runs when the timer expires: it requests a check of the unit, and a hedge after a longer silence.
func (wat *watchdog) onSilence() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	if wat.isDone() || wat.paused {
		return
	}
	quiet := wat.clk.Since(wat.lastEvent)
	if wat.suspected || wat.linksLost() || quiet >= wat.hedgeAfter {
		wat.hedge.start()
	}
	next := wat.checkAfter
	if left := wat.hedgeAfter - quiet; left > 0 {
		next = min(next, left)
	}
	wat.timer.Reset(next)
	go wat.suspect()
}

// pause stops the watchdog while the stream is not read: its silence says nothing about the unit.
func (wat *watchdog) pause() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	wat.paused = true
	wat.timer.Stop()
}

// resume starts the watchdog again once the stream is read on.
func (wat *watchdog) resume() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	wat.paused = false
	if wat.isDone() {
		return
	}
	wat.lastEvent = wat.clk.Now()
	wat.timer.Reset(wat.checkAfter)
}

func (wat *watchdog) isDone() bool {
	select {
	case <-wat.done:
		return true
	default:
		return false
	}
}

// eventSpan returns the time between the first and the last event.
func (wat *watchdog) eventSpan() time.Duration {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	return wat.lastEvent.Sub(wat.firstEvent)
}

// began returns when the unit sent the first event.
func (wat *watchdog) began() time.Time {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	return wat.firstEvent
}

func (wat *watchdog) stop() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	close(wat.done)
	wat.timer.Stop()
}
