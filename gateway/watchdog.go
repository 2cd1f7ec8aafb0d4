package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/dispatcher"
)

// watchdog has a unit checked whose stream falls silent, and gives the stream up when the unit is broken or stays silent.
type watchdog struct {
	clk    clockwork.Clock
	check  func()
	alive  func()
	cancel context.CancelCauseFunc
	first  time.Duration
	pause  time.Duration
	done   chan struct{}

	mux   sync.Mutex
	timer clockwork.Timer
	begun time.Time
	last  time.Time
	heard bool
}

// watch starts to watch the stream on a place.
func (pas *passing) watch(pla *dispatcher.Placement, cancel context.CancelCauseFunc) *watchdog {
	now := pas.gat.opt.Clock.Now()
	wat := &watchdog{
		clk:    pas.gat.opt.Clock,
		check:  func() { pas.gat.opt.Detector.Suspect(pla.Unit.ID) },
		alive:  func() { pas.gat.opt.Detector.Heard(pla.Unit.ID) },
		cancel: cancel,
		first:  time.Duration(float64(pas.rou.Objective) * firstCheck),
		pause:  time.Duration(float64(pas.rou.LongestPause) * pauseCheck),
		done:   make(chan struct{}),
		begun:  now,
		last:   now,
	}
	if wat.pause <= 0 {
		wat.pause = wat.first
	}
	wat.mux.Lock()
	wat.timer = wat.clk.AfterFunc(wat.first, wat.silent)
	wat.mux.Unlock()
	go func() {
		select {
		case <-pla.Broken:
			cancel(errBroken)
		case <-wat.done:
		}
	}()
	return wat
}

// event notes that the unit sent an event.
func (wat *watchdog) event() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	now := wat.clk.Now()
	if !wat.heard {
		wat.heard, wat.begun = true, now
	}
	wat.last = now
	wat.timer.Reset(wat.pause)
	wat.alive()
}

// silent runs when the unit has sent nothing for a while.
func (wat *watchdog) silent() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	select {
	case <-wat.done:
		return
	default:
	}
	quiet := wat.clk.Since(wat.last)
	if quiet >= max(silenceLimit, 2*wat.first) {
		wat.cancel(errSilent)
		return
	}
	wat.timer.Reset(wat.pause)
	go wat.check()
}

// spread is the time from the first to the last event.
func (wat *watchdog) spread() time.Duration {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	return wat.last.Sub(wat.begun)
}

func (wat *watchdog) stop() {
	wat.mux.Lock()
	defer wat.mux.Unlock()
	close(wat.done)
	wat.timer.Stop()
}
