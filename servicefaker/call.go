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
	body, err := io.ReadAll(io.LimitReader(req.Body, jsoncoder.MaxBody))
	if err != nil {
		jsoncoder.Fail(wtr, http.StatusBadRequest, errors.NewNotValid(err, "servicefaker: read body"))
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	cal := &call{cancel: cancel}
	ans := answer{
		Service: srv.fkr.opt.Service, VM: srv.name, RequestID: req.Header.Get("X-Request-Id"),
		Method: req.Method, Path: req.URL.Path, Key: req.Header.Get("Idempotency-Key"), Body: string(body),
	}
	if !srv.begin(cal, &ans, callerLimit(req)) {
		wtr.Header().Set("X-Not-Run", "true")
		jsoncoder.Fail(wtr, http.StatusServiceUnavailable, errors.QuotaLimitExceededf("servicefaker: calls at once"))
		return
	}
	srv.work(ctx)
	if srv.end(cal) {
		panic(http.ErrAbortHandler)
	}
	jsoncoder.Write(wtr, http.StatusOK, ans)
}

// callerLimit returns how many calls the caller lets a cold VM run at once, 0 for any number.
func callerLimit(req *http.Request) int {
	lim, _ := strconv.Atoi(req.Header.Get("X-Cold-Limit"))
	return lim
}

// begin runs the call's effect and reports whether it was taken.
func (srv *server) begin(cal *call, ans *answer, callerLimit int) bool {
	srv.fkr.mut.Lock()
	defer srv.fkr.mut.Unlock()
	tooCold := callerLimit > 0 && !srv.warm() && len(srv.calls) >= callerLimit
	if tooCold || len(srv.calls) >= srv.fkr.opt.WarmLimit {
		srv.cnt.Refused++
		return false
	}
	now := srv.fkr.opt.Clock.Now()
	if len(srv.calls) == 0 {
		srv.since = now
	}
	cold := !srv.warm()
	srv.calls[cal] = struct{}{}
	srv.cnt.Started++
	srv.cnt.AcceptedAtMS = now.UnixMilli()
	if ans.Key != "" {
		srv.fkr.runs[ans.Key]++
		ans.Run = srv.fkr.runs[ans.Key]
	}
	if cold && len(srv.calls) > srv.fkr.opt.ColdLimit {
		srv.cnt.FellOver++
		srv.restart()
	}
	return true
}

func (srv *server) work(ctx context.Context) {
	select {
	case <-srv.fkr.opt.Clock.After(srv.fkr.opt.Work):
	case <-ctx.Done():
	}
	srv.machine.Wait(ctx)
}

// end reports whether the call gets no answer.
func (srv *server) end(cal *call) bool {
	srv.fkr.mut.Lock()
	defer srv.fkr.mut.Unlock()
	if cal.broken {
		return true
	}
	delete(srv.calls, cal)
	if len(srv.calls) == 0 {
		srv.busy += srv.fkr.opt.Clock.Since(srv.since)
	}
	if srv.flt.LoseAnswers == 0 {
		return false
	}
	srv.flt.LoseAnswers--
	return true
}
