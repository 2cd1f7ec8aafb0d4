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

// stop drains this entry: others take its duties, callers with a fresh answer are still served, and what runs ends.
func (srv *Server) stop(ctx context.Context, web *http.Server) {
	srv.log.Info("entry drains")
	srv.draining.Store(true)
	srv.within(ctx, leaveTimeout, "drain", srv.joi.Drain)
	srv.clk.Sleep(srv.set.LocateValidFor)
	ending, done := context.WithTimeout(ctx, srv.set.StopTimeout)
	defer done()
	if err := web.Shutdown(ending); err != nil {
		srv.log.WithError(err).Error("requests were cut")
	}
	srv.awaitRunning(ending)
	successor := srv.handOver(ctx)
	srv.within(ctx, leaveTimeout, "leave", func(ctx context.Context) error { return srv.joi.Leave(ctx, successor) })
	srv.log.WithFields(logrus.Fields{"successor": successor}).Info("entry stopped")
}

func (srv *Server) within(ctx context.Context, limit time.Duration, what string, call func(context.Context) error) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	if err := call(ctx); err != nil {
		srv.log.WithError(err).WithField("step", what).Warn("step of the stop not settled")
	}
}

func (srv *Server) awaitRunning(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		srv.running.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// handOver gives the outcomes of this entry's keys to another entry and returns its incarnation, or nothing.
func (srv *Server) handOver(ctx context.Context) string {
	tab := srv.cla.Load().Handover()
	for _, mem := range srv.heirs() {
		adopting, stop := context.WithTimeout(ctx, adoptTimeout)
		adopted, err := messenger.Call[claimer.Table, bool](adopting, srv.mes, mem.RPCAddress, "Adopt", tab)
		stop()
		if err == nil && adopted {
			return mem.Incarnation
		}
	}
	return ""
}

// heirs are the other entries that stay, in a fixed order.
func (srv *Server) heirs() []reducer.Member {
	var out []reducer.Member
	for inc, mem := range srv.view().Members {
		if inc != srv.self() && !mem.Draining {
			out = append(out, mem)
		}
	}
	slices.SortFunc(out, func(one, two reducer.Member) int {
		return cmp.Compare(assigner.Score(srv.set.Name, two.Name), assigner.Score(srv.set.Name, one.Name))
	})
	return out
}
