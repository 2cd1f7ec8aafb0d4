package completer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/streamer"
)

// counter passes tokens on and notes when they came; left says that the caller takes no more.
type counter struct {
	sink   streamer.Sink
	clk    clockwork.Clock
	tokens int
	left   bool

	mtx   sync.Mutex
	first time.Time
	last  time.Time
	heard time.Time
	busy  bool
}

// Token passes one token on.
func (cou *counter) Token(index int, content []byte) error {
	now := cou.clk.Now()
	cou.mtx.Lock()
	if cou.first.IsZero() {
		cou.first = now
	}
	cou.last, cou.busy = now, true
	cou.mtx.Unlock()
	err := cou.sink.Token(index, content)
	cou.mtx.Lock()
	cou.heard, cou.busy = cou.clk.Now(), false
	cou.mtx.Unlock()
	if err != nil {
		cou.left = true
		return err
	}
	cou.tokens = index + 1
	return nil
}

// begin starts the timing of an attempt.
func (cou *counter) begin() {
	cou.mtx.Lock()
	defer cou.mtx.Unlock()
	cou.first, cou.heard = time.Time{}, cou.clk.Now()
}

// watch ends a stream that stalls; the time that the caller takes for a token does not count.
func (cou *counter) watch(ctx context.Context, stop context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-cou.clk.After(stallAfter / 4):
		}
		cou.mtx.Lock()
		stalled := !cou.busy && cou.clk.Since(cou.heard) > stallAfter
		cou.mtx.Unlock()
		if stalled {
			stop()
			return
		}
	}
}

func (cou *counter) outcome(begun time.Time, before int) limiter.Outcome {
	cou.mtx.Lock()
	defer cou.mtx.Unlock()
	out := limiter.Outcome{}
	if cou.first.IsZero() {
		return out
	}
	out.FirstToken = cou.first.Sub(begun)
	if steps := cou.tokens - before - 1; steps > 0 {
		out.Step = cou.last.Sub(cou.first) / time.Duration(steps)
	}
	return out
}
