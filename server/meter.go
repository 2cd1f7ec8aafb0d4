package server

import (
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lovagelever/lovagelever/burner"
	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
)

// The classes of requests that objectives are set for.
const (
	classModel         = "model"
	classIdempotent    = "idempotent_call"
	classNonIdempotent = "non_idempotent_call"
)

const reportEvery = time.Second

// meter keeps the metrics of an entry; labels are bounded by the inventory and by the refusals' types.
type meter struct {
	scope  tally.Scope
	tokens tally.Counter
	rep    prometheus.Reporter
}

func newMeter() *meter {
	reg := client.NewRegistry()
	rep := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lovagelever",
		CachedReporter: rep,
		Separator:      prometheus.DefaultSeparator,
	}, reportEvery)
	return &meter{scope: scope, tokens: scope.Counter("tokens"), rep: rep}
}

func (mtr *meter) handler() http.Handler {
	return mtr.rep.HTTPHandler()
}

func (mtr *meter) folded(kind recorder.Kind, rea reducer.Reason) {
	if !recorder.Known(kind) {
		kind = "unknown"
	}
	verdict := string(rea)
	if rea == reducer.Accepted {
		verdict = "accepted"
	}
	mtr.scope.Tagged(map[string]string{"kind": string(kind), "verdict": verdict}).Counter("records_folded").Inc(1)
}

// control states the bytes of control since the start: between entries, and with the platform and backend servers.
func (mtr *meter) control(rpc, ctl *counter.Counter) {
	for peer, cou := range map[string]*counter.Counter{"entries": rpc, "others": ctl} {
		scope := mtr.scope.Tagged(map[string]string{"peer": peer})
		scope.Gauge("control_bytes_in").Update(float64(cou.In()))
		scope.Gauge("control_bytes_out").Update(float64(cou.Out()))
	}
}

func (mtr *meter) diverged() {
	mtr.scope.Counter("fold_diverged").Inc(1)
}

// stopwatch times one request.
type stopwatch struct {
	srv   *Server
	space string
	class string
	begun time.Time
	once  sync.Once
	first time.Duration
}

func (srv *Server) begin(workspace, class string) *stopwatch {
	return &stopwatch{srv: srv, space: workspace, class: class, begun: srv.clk.Now()}
}

func (wat *stopwatch) token() {
	wat.once.Do(func() {
		wat.first = wat.srv.clk.Since(wat.begun)
		wat.scope().Timer("first_token").Record(wat.first)
	})
	wat.srv.mtr.tokens.Inc(1)
}

func (wat *stopwatch) end(err error) {
	result := "whole"
	if err != nil {
		result = string(refuser.From(err).Type)
	}
	took := wat.srv.clk.Since(wat.begun)
	wat.scope().Tagged(map[string]string{"result": result}).Counter("requests").Inc(1)
	wat.scope().Timer("whole").Record(took)
	obj := wat.srv.view().Catalog.Rules.Workspaces[wat.space].Objectives[wat.class]
	wat.srv.bur.Add(wat.space, wat.class, obj, burner.Result{Whole: err == nil, FirstToken: wat.first, Took: took})
}

func (wat *stopwatch) scope() tally.Scope {
	return wat.srv.mtr.scope.Tagged(map[string]string{"workspace": wat.space, "class": wat.class})
}
