package server

import (
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/slocounter"
)

// Request classes that service-level objectives are set for.
const (
	classModel         = "model"
	classIdempotent    = "idempotent_call"
	classNonIdempotent = "non_idempotent_call"
)

const reportEvery = time.Second

// metrics holds the Prometheus metrics of an entry; the cardinality of labels is bounded by the inventory and the refusal types.
type metrics struct {
	scope    tally.Scope
	tokens   tally.Counter
	reporter prometheus.Reporter
}

func newMetrics() *metrics {
	reg := client.NewRegistry()
	rep := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lovagelever",
		CachedReporter: rep,
		Separator:      prometheus.DefaultSeparator,
	}, reportEvery)
	return &metrics{scope: scope, tokens: scope.Counter("tokens"), reporter: rep}
}

func (met *metrics) handler() http.Handler {
	return met.reporter.HTTPHandler()
}

func (met *metrics) countRecord(kind recorder.Kind, rea reducer.Reason) {
	if !recorder.Known(kind) {
		kind = "unknown"
	}
	verdict := string(rea)
	if rea == reducer.Accepted {
		verdict = "accepted"
	}
	met.scope.Tagged(map[string]string{"kind": string(kind), "verdict": verdict}).Counter("records_folded").Inc(1)
}

// setControlBytes updates the gauges of control traffic since the start, in bytes: with other entries, and with the platform and backend servers.
func (met *metrics) setControlBytes(rpc, ctl *counter.Counter) {
	for peer, cou := range map[string]*counter.Counter{"entries": rpc, "others": ctl} {
		scope := met.scope.Tagged(map[string]string{"peer": peer})
		scope.Gauge("control_bytes_in").Update(float64(cou.BytesReceived()))
		scope.Gauge("control_bytes_out").Update(float64(cou.BytesSent()))
	}
}

func (met *metrics) countDivergence() {
	met.scope.Counter("fold_diverged").Inc(1)
}

// requestTimer measures one request for the metrics and the service-level objectives.
type requestTimer struct {
	srv        *Server
	workspace  string
	class      string
	startedAt  time.Time
	once       sync.Once
	firstToken time.Duration
}

func (srv *Server) startTimer(workspace, class string) *requestTimer {
	return &requestTimer{srv: srv, workspace: workspace, class: class, startedAt: srv.clock.Now()}
}

func (tim *requestTimer) recordToken() {
	tim.once.Do(func() {
		tim.firstToken = tim.srv.clock.Since(tim.startedAt)
		tim.scope().Timer("first_token").Record(tim.firstToken)
	})
	tim.srv.metrics.tokens.Inc(1)
}

func (tim *requestTimer) finish(err error) {
	result := "whole"
	if err != nil {
		result = string(refuser.FromError(err).Type)
	}
	took := tim.srv.clock.Since(tim.startedAt)
	tim.scope().Tagged(map[string]string{"result": result}).Counter("requests").Inc(1)
	tim.scope().Timer("whole").Record(took)
	obj := tim.srv.view().Catalog.Rules.Workspaces[tim.workspace].Objectives[tim.class]
	tim.srv.slocounter.Add(tim.workspace, tim.class, obj, slocounter.Result{Complete: err == nil, FirstToken: tim.firstToken, Duration: took})
}

func (tim *requestTimer) scope() tally.Scope {
	return tim.srv.metrics.scope.Tagged(map[string]string{"workspace": tim.workspace, "class": tim.class})
}
