package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/dispatcher"
)

// watchdog requests a check of the unit when its stream falls silent, and cancels the attempt when the unit is broken or stays silent.
type watchdog struct {
	clk             clockwork.Clock
	suspect         func()
	markAlive       func()
	cancel          context.CancelCauseFunc
	firstCheckAfter time.Duration
	checkAfter      time.Duration
	done            chan struct{}

	mux        sync.Mutex
	timer      clockwork.Timer
	firstEvent time.Time
	lastEvent  time.Time
	sawEvent   bool
}

// watch starts the watchdog for an attempt on the unit of a slot.
func (rel *relay) watch(pla *dispatcher.Placement, cancel context.CancelCauseFunc) *watchdog {
	now := rel.gat.opt.Clock.Now()
	wat := &watchdog{
		clk:             rel.gat.opt.Clock,
		suspect:         func() { rel.gat.opt.Detector.CheckUnit(pla.Unit.ID) },
		markAlive:       func() { rel.gat.opt.Detector.RecordActivity(pla.Unit.ID) },
		cancel:          cancel,
		firstCheckAfter: time.Duration(float64(rel.rou.Objective) * firstEventCheckShare),
		checkAfter:      time.Duration(float64(rel.rou.MaxEventGap) * pauseCheckShare),
		done:            make(chan struct{}),
		firstEvent:      now,
		lastEvent:       now,
	}
	if wat.checkAfter <= 0 {
		wat.checkAfter = wat.firstCheckAfter
	}
	wat.mux.Lock()
	wat.timer = wat.clk.AfterFunc(wat.firstCheckAfter, wat.onSilence)
	wat.mux.Unlock()
	go func() {
		select {
		case <-pla.Broken:
			cancel(errUnitBroken)
		case <-wat.done:
		}
	}()
	return wat
}

// noteEvent records that the unit sent an event, and restarts the timer.
func (wat *watchdog) noteEvent() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	now := wat.clk.Now()
	if !wat.sawEvent {
		wat.sawEvent, wat.firstEvent = true, now
	}
	wat.lastEvent = now
	wat.timer.Reset(wat.checkAfter)
	wat.markAlive()
}

// onSilence runs when the timer expires: it requests a check of the unit, or cancels the attempt after the silence timeout.
func (wat *watchdog) onSilence() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	select {
	case <-wat.done:
		return
	default:
	}
	quiet := wat.clk.Since(wat.lastEvent)
	if quiet >= max(silenceTimeout, 2*wat.firstCheckAfter) {
		wat.cancel(errUnitSilent)
		return
	}
	wat.timer.Reset(wat.checkAfter)
	go wat.suspect()
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
