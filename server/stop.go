package server

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/reducer"
)

const (
	leaveTimeout = 3 * time.Second
	adoptTimeout = 3 * time.Second
)

// stop drains this entry: other entries take over its tasks, callers that still hold a valid locate answer are served, and running requests end or are cut at the stop timeout.
func (srv *Server) stop(ctx context.Context, web *http.Server) {
	srv.log.Info("entry is draining")
	srv.draining.Store(true)
	srv.runStep(ctx, leaveTimeout, "drain", srv.joiner.Drain)
	srv.clock.Sleep(srv.settings.LocateValidFor)
	ending, done := context.WithTimeout(ctx, srv.settings.StopTimeout)
	defer done()
	if err := web.Shutdown(ending); err != nil {
		srv.log.WithError(err).Error("HTTP server did not shut down in time; running requests are cut")
	}
	srv.awaitInFlight(ending)
	successor := srv.handOverOutcomes(ctx)
	srv.runStep(ctx, leaveTimeout, "leave", func(ctx context.Context) error { return srv.joiner.Leave(ctx, successor) })
	srv.log.WithFields(logrus.Fields{"successor": successor}).Info("entry stopped")
}

func (srv *Server) runStep(ctx context.Context, limit time.Duration, what string, call func(context.Context) error) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	if err := call(ctx); err != nil {
		srv.log.WithError(err).WithField("step", what).Warn("shutdown step not confirmed")
	}
}

func (srv *Server) awaitInFlight(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		srv.inFlight.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// handOverOutcomes hands the outcomes of this entry's idempotency keys to another entry and returns its incarnation, or an empty string if none took them.
func (srv *Server) handOverOutcomes(ctx context.Context) string {
	tab := srv.claimer.Load().Handover()
	for _, mem := range srv.successors() {
		adopting, stop := context.WithTimeout(ctx, adoptTimeout)
		adopted, err := messenger.Call[claimer.Table, bool](adopting, srv.messenger, mem.RPCAddress, "Adopt", tab)
		stop()
		if err == nil && adopted {
			return mem.Incarnation
		}
	}
	return ""
}

// successors returns the other entries that are not draining, ordered by their score for this entry's name.
func (srv *Server) successors() []reducer.Member {
	var out []reducer.Member
	for inc, mem := range srv.view().Members {
		if inc != srv.self() && !mem.Draining {
			out = append(out, mem)
		}
	}
	slices.SortFunc(out, func(one, two reducer.Member) int {
		return cmp.Compare(assigner.Score(srv.settings.Name, two.Name), assigner.Score(srv.settings.Name, one.Name))
	})
	return out
}
