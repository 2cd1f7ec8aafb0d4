package servicefaker

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

const healthPath = "/healthz"

type answer struct {
	Service   string `json:"service"`
	VM        string `json:"vm"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Run       int    `json:"run"`
	Body      string `json:"body"`
}

func (srv *server) serveCall(wtr http.ResponseWriter, req *http.Request) {
	if req.URL.Path == healthPath {
		wtr.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, jsoncoder.MaxBodyBytes))
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, errors.NewNotValid(err, "servicefaker: read request body"))
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	cal := &call{cancel: cancel}
	ans := answer{
		Service: srv.sim.opt.Service, VM: srv.name, RequestID: req.Header.Get("X-Request-Id"),
		Method: req.Method, Path: req.URL.Path, Key: req.Header.Get("Idempotency-Key"), Body: string(body),
	}
	if !srv.begin(cal, &ans, callerLimit(req)) {
		wtr.Header().Set("X-Not-Run", "true")
		jsoncoder.WriteError(wtr, http.StatusServiceUnavailable, errors.QuotaLimitExceededf("servicefaker: concurrent calls"))
		return
	}
	srv.work(ctx)
	if srv.end(cal) {
		panic(http.ErrAbortHandler)
	}
	jsoncoder.Write(wtr, http.StatusOK, ans)
}

// callerLimit returns the caller's bound on concurrent calls while the VM is cold, 0 if there is none.
func callerLimit(req *http.Request) int {
	lim, _ := strconv.Atoi(req.Header.Get("X-Cold-Limit"))
	return lim
}

// begin accepts the call, counts a run under its idempotency key and reports false when the call exceeds a concurrency limit.
// Exceeding the VM's own cold limit restarts the VM, which breaks all its calls.
func (srv *server) begin(cal *call, ans *answer, callerLimit int) bool {
	srv.sim.mut.Lock()
	defer srv.sim.mut.Unlock()
	tooCold := callerLimit > 0 && !srv.warm() && len(srv.calls) >= callerLimit
	if tooCold || len(srv.calls) >= srv.sim.opt.WarmLimit {
		srv.cnt.Refused++
		return false
	}
	now := srv.sim.opt.Clock.Now()
	if len(srv.calls) == 0 {
		srv.busySince = now
	}
	cold := !srv.warm()
	srv.calls[cal] = struct{}{}
	srv.cnt.Started++
	srv.cnt.AcceptedAtMS = now.UnixMilli()
	if ans.Key != "" {
		srv.sim.runs[ans.Key]++
		ans.Run = srv.sim.runs[ans.Key]
	}
	if cold && len(srv.calls) > srv.sim.opt.ColdLimit {
		srv.cnt.FellOver++
		srv.restart()
	}
	return true
}

func (srv *server) work(ctx context.Context) {
	select {
	case <-srv.sim.opt.Clock.After(srv.sim.opt.CallDuration):
	case <-ctx.Done():
	}
	srv.machine.WaitWhilePaused(ctx)
}

// end finishes the call and reports whether its answer is to be lost.
func (srv *server) end(cal *call) bool {
	srv.sim.mut.Lock()
	defer srv.sim.mut.Unlock()
	if cal.broken {
		return true
	}
	delete(srv.calls, cal)
	if len(srv.calls) == 0 {
		srv.busyTime += srv.sim.opt.Clock.Since(srv.busySince)
	}
	if srv.flt.LoseAnswers == 0 {
		return false
	}
	srv.flt.LoseAnswers--
	return true
}
