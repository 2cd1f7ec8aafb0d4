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

// Disturber applies its faults to the requests of the handlers that it wraps.
type Disturber struct {
	clk     clockwork.Clock
	mut     sync.Mutex
	faults  Faults
	flights map[*flight]struct{}
	// resumed is closed while nothing is paused.
	resumed chan struct{}
}

type flight struct {
	source string
	cancel context.CancelFunc
	broken bool
}

// New makes a disturber without faults.
func New(clk clockwork.Clock) *Disturber {
	dis := &Disturber{clk: clk, flights: map[*flight]struct{}{}, resumed: make(chan struct{})}
	close(dis.resumed)
	return dis
}

// Set replaces the faults and breaks the running requests that they cut off; its error is always nil.
func (dis *Disturber) Set(flt Faults) error {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	dis.turnPause(dis.faults.Pause, flt.Pause)
	dis.faults = flt
	for flg := range dis.flights {
		if dis.cuts(flg.source) {
			flg.cancel()
		}
	}
	return nil
}

// Break closes the connections of the running requests; none of them begins to run any more.
func (dis *Disturber) Break() {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	for flg := range dis.flights {
		flg.broken = true
		flg.cancel()
	}
}

func (dis *Disturber) turnPause(before, after bool) {
	if !before && after {
		dis.resumed = make(chan struct{})
	}
	if before && !after {
		close(dis.resumed)
	}
}

// Wait returns once nothing is paused or the context ends.
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

// Faults returns the faults in force.
func (dis *Disturber) Faults() Faults {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	return dis.faults
}

// Wrap returns the handler with the faults applied.
func (dis *Disturber) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		flg := &flight{source: host(req.RemoteAddr), cancel: cancel}
		wait := dis.begin(flg)
		defer dis.end(flg)
		dis.sleep(ctx, wait)
		// A caller that gives up does not end the pause: its request runs after it.
		dis.Wait(context.Background())
		dis.abortIfCut(flg)
		next.ServeHTTP(wtr, req.WithContext(ctx))
		dis.abortIfCut(flg)
	})
}

func (dis *Disturber) begin(flg *flight) time.Duration {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	dis.flights[flg] = struct{}{}
	return time.Duration(dis.faults.SlowMS) * time.Millisecond
}

func (dis *Disturber) end(flg *flight) {
	dis.mut.Lock()
	defer dis.mut.Unlock()
	delete(dis.flights, flg)
}

func (dis *Disturber) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-dis.clk.After(wait):
	case <-ctx.Done():
	}
}

func (dis *Disturber) abortIfCut(flg *flight) {
	dis.mut.Lock()
	cut := flg.broken || dis.cuts(flg.source)
	dis.mut.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
}

func (dis *Disturber) cuts(source string) bool {
	return dis.faults.Down || slices.Contains(dis.faults.CutSources, source)
}

func host(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}
