package gateserver

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lovagelever/lovagelever/router"
)

// reportInterval is the interval at which counts are passed to the metrics endpoint.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of the latency histogram; they cover the objectives of 120 to 500 ms and the deadlines of up to 8 s.
var latencyBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond,
}

// meter counts requests and records their latency, labelled by kind of route and outcome.
type meter struct {
	scope tally.Scope
	rep   prometheus.Reporter
}

func newMeter() *meter {
	reg := client.NewRegistry()
	rep := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{Prefix: "lovagelever", CachedReporter: rep, Separator: prometheus.DefaultSeparator}, reportInterval)
	return &meter{scope: scope, rep: rep}
}

func (mtr *meter) handler() http.Handler {
	return mtr.rep.HTTPHandler()
}

// RecordRequest records the outcome and the duration of a request.
func (mtr *meter) RecordRequest(kind router.Kind, outcome string, took time.Duration) {
	if kind == "" {
		kind = "none"
	}
	sco := mtr.scope.Tagged(map[string]string{"kind": string(kind), "outcome": outcome})
	sco.Counter("requests").Inc(1)
	sco.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}
