package disturber

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// FaultInjector injects its faults into the requests of the handlers that it wraps.
type FaultInjector struct {
	clk      clockwork.Clock
	mut      sync.Mutex
	faults   Faults
	requests map[*openRequest]struct{}
	// resumed is closed while requests are not paused.
	resumed chan struct{}
}

type openRequest struct {
	source  string
	cancel  context.CancelFunc
	aborted bool
}

// New returns a fault injector that has no faults set.
func New(clk clockwork.Clock) *FaultInjector {
	dis := &FaultInjector{clk: clk, requests: map[*openRequest]struct{}{}, resumed: make(chan struct{})}
	close(dis.resumed)
	return dis
}

// SetFaults replaces the faults and cancels the running requests that the new faults cut off; its error is always nil.
func (dis *FaultInjector) SetFaults(flt Faults) error {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	dis.updatePause(dis.faults.Pause, flt.Pause)
	dis.faults = flt
	for opn := range dis.requests {
		if dis.cutsOff(opn.source) {
			opn.cancel()
		}
	}
	return nil
}

// AbortRequests aborts the connections of all open requests; those still delayed or paused never reach the wrapped handler.
func (dis *FaultInjector) AbortRequests() {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	for opn := range dis.requests {
		opn.aborted = true
		opn.cancel()
	}
}

func (dis *FaultInjector) updatePause(before, after bool) {
	if !before && after {
		dis.resumed = make(chan struct{})
	}
	if before && !after {
		close(dis.resumed)
	}
}

// WaitWhilePaused blocks while requests are paused and returns early when the context ends.
func (dis *FaultInjector) WaitWhilePaused(ctx context.Context) {
	for dis.Faults().Pause {
		dis.mut.Lock()
		resumed := dis.resumed
		dis.mut.Unlock()
		select {
		case <-resumed:
		case <-ctx.Done():
			return
		}
	}
}

// Faults returns the current faults.
func (dis *FaultInjector) Faults() Faults {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	return dis.faults
}

// Wrap returns middleware that applies the faults to each request before and after next handles it.
func (dis *FaultInjector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		opn := &openRequest{source: hostOf(req.RemoteAddr), cancel: cancel}
		wait := dis.beginRequest(opn)
		defer dis.endRequest(opn)
		dis.delay(ctx, wait)
		// The pause ignores cancellation: a request whose client has given up is still handled after the pause.
		dis.WaitWhilePaused(context.Background())
		dis.abortIfCut(opn)
		next.ServeHTTP(wtr, req.WithContext(ctx))
		dis.abortIfCut(opn)
	})
}

func (dis *FaultInjector) beginRequest(opn *openRequest) time.Duration {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	dis.requests[opn] = struct{}{}
	return time.Duration(dis.faults.SlowMS) * time.Millisecond
}

func (dis *FaultInjector) endRequest(opn *openRequest) {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	delete(dis.requests, opn)
}

func (dis *FaultInjector) delay(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-dis.clk.After(wait):
	case <-ctx.Done():
	}
}

func (dis *FaultInjector) abortIfCut(opn *openRequest) {
	dis.mut.Lock()
	cut := opn.aborted || dis.cutsOff(opn.source)
	dis.mut.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
}

func (dis *FaultInjector) cutsOff(source string) bool {
	return dis.faults.Down || slices.Contains(dis.faults.CutSources, source)
}

func hostOf(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}
