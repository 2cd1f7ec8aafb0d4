package completer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/streamer"
)

// countingSink delivers tokens to the caller and records their number and times; callerLeft is set when the caller's sink returned an error.
type countingSink struct {
	sink       streamer.Sink
	clk        clockwork.Clock
	tokens     int
	callerLeft bool

	mtx          sync.Mutex
	firstToken   time.Time
	lastToken    time.Time
	lastActivity time.Time
	delivering   bool
}

// Token delivers one token and records the time.
func (cou *countingSink) Token(index int, content []byte) error {
	now := cou.clk.Now()
	cou.mtx.Lock()
	if cou.firstToken.IsZero() {
		cou.firstToken = now
	}
	cou.lastToken, cou.delivering = now, true
	cou.mtx.Unlock()
	err := cou.sink.Token(index, content)
	cou.mtx.Lock()
	cou.lastActivity, cou.delivering = cou.clk.Now(), false
	cou.mtx.Unlock()
	if err != nil {
		cou.callerLeft = true
		return err
	}
	cou.tokens = index + 1
	return nil
}

// startAttempt resets the timing for a new attempt.
func (cou *countingSink) startAttempt() {
	cou.mtx.Lock()
	defer cou.mtx.Unlock()
	cou.firstToken, cou.lastActivity = time.Time{}, cou.clk.Now()
}

// cancelOnStall cancels a stream that sends no token for stallTimeout; time spent in the caller's sink does not count.
func (cou *countingSink) cancelOnStall(ctx context.Context, cancel context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-cou.clk.After(stallTimeout / 4):
		}
		cou.mtx.Lock()
		stalled := !cou.delivering && cou.clk.Since(cou.lastActivity) > stallTimeout
		cou.mtx.Unlock()
		if stalled {
			cancel()
			return
		}
	}
}

// began returns when the first token of the attempt arrived, zero if none did.
func (cou *countingSink) began() time.Time {
	cou.mtx.Lock()
	defer cou.mtx.Unlock()
	return cou.firstToken
}

func (cou *countingSink) outcome(startedAt time.Time, tokensBefore int) limiter.Outcome {
	cou.mtx.Lock()
	defer cou.mtx.Unlock()
	out := limiter.Outcome{}
	if cou.firstToken.IsZero() {
		return out
	}
	out.FirstToken = cou.firstToken.Sub(startedAt)
	if steps := cou.tokens - tokensBefore - 1; steps > 0 {
		out.Step = cou.lastToken.Sub(cou.firstToken) / time.Duration(steps)
	}
	return out
}
