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

// Disturber injects its faults into the requests of the handlers that it wraps.
type Disturber struct {
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
func New(clk clockwork.Clock) *Disturber {
	dis := &Disturber{clk: clk, requests: map[*openRequest]struct{}{}, resumed: make(chan struct{})}
	close(dis.resumed)
	return dis
}

// Set replaces the faults and cancels the running requests that the new faults cut off; its error is always nil.
func (dis *Disturber) Set(flt Faults) error {
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

// Break aborts the connections of all open requests; those still delayed or paused never reach the wrapped handler.
func (dis *Disturber) Break() {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	for opn := range dis.requests {
		opn.aborted = true
		opn.cancel()
	}
}

func (dis *Disturber) updatePause(before, after bool) {
	if !before && after {
		dis.resumed = make(chan struct{})
	}
	if before && !after {
		close(dis.resumed)
	}
}

// Wait blocks while requests are paused and returns early when the context ends.
func (dis *Disturber) Wait(ctx context.Context) {
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
func (dis *Disturber) Faults() Faults {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	return dis.faults
}

// Wrap returns middleware that applies the faults to each request before and after next handles it.
func (dis *Disturber) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		opn := &openRequest{source: hostOf(req.RemoteAddr), cancel: cancel}
		wait := dis.beginRequest(opn)
		defer dis.endRequest(opn)
		dis.delay(ctx, wait)
		// The pause ignores cancellation: a request whose client has given up is still handled after the pause.
		dis.Wait(context.Background())
		dis.abortIfCut(opn)
		next.ServeHTTP(wtr, req.WithContext(ctx))
		dis.abortIfCut(opn)
	})
}

func (dis *Disturber) beginRequest(opn *openRequest) time.Duration {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	dis.requests[opn] = struct{}{}
	return time.Duration(dis.faults.SlowMS) * time.Millisecond
}

func (dis *Disturber) endRequest(opn *openRequest) {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	delete(dis.requests, opn)
}

func (dis *Disturber) delay(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-dis.clk.After(wait):
	case <-ctx.Done():
	}
}

func (dis *Disturber) abortIfCut(opn *openRequest) {
	dis.mut.Lock()
	cut := opn.aborted || dis.cutsOff(opn.source)
	dis.mut.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
}

func (dis *Disturber) cutsOff(source string) bool {
	return dis.faults.Down || slices.Contains(dis.faults.CutSources, source)
}

func hostOf(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}
