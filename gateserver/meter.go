package gateserver

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/router"
)

// reportInterval is the interval at which counts are passed to the metrics endpoint.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of the latency histogram; they cover the objectives of 120 to 500 ms and the deadlines of up to 8 s.
var latencyBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond,
}

// meter counts requests and records their latency, labelled by kind of route and outcome; it also records the parts of the time to the first event of streams and, at the leader, the supply of models.
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

// RecordFirstEvent records, for a stream, how long it waited for slots and how long its unit took to send the first event.
func (mtr *meter) RecordFirstEvent(pool string, queued, unit time.Duration) {
	sco := mtr.scope.Tagged(map[string]string{"pool": pool})
	sco.Histogram("queue_seconds", latencyBuckets).RecordDuration(queued)
	sco.Histogram("first_event_seconds", latencyBuckets).RecordDuration(unit)
}

// RecordCapacity records how many requests the entry can carry, the weight by which callers get its address.
func (mtr *meter) RecordCapacity(requests float64) {
	mtr.scope.Gauge("directory_capacity_requests").Update(requests)
}

// RecordZoneShare records the share of a pool's requests that leaves the entry's availability zone.
func (mtr *meter) RecordZoneShare(pool string, share float64) {
	mtr.scope.Tagged(map[string]string{"pool": pool}).Gauge("zone_share_leaving").Update(share)
}

// RecordLeaving counts requests of a pool that leave the entry's availability zone for a reason.
func (mtr *meter) RecordLeaving(pool, reason string, num int64) {
	mtr.scope.Tagged(map[string]string{"pool": pool, "reason": reason}).Counter("requests_leaving_zone").Inc(num)
}

// RecordZoneBytes counts bytes that pass between availability zones for a cause.
func (mtr *meter) RecordZoneBytes(cause string, num int64) {
	mtr.scope.Tagged(map[string]string{"cause": cause}).Counter("zone_bytes").Inc(num)
}

// RecordConfigAge records how long the entry that told a configuration had known it when it came into force here.
func (mtr *meter) RecordConfigAge(age time.Duration) {
	mtr.scope.Histogram("config_age_seconds", latencyBuckets).RecordDuration(age)
}

// RecordHeartbeatDelay records how long a heartbeat of another entry was on the way.
func (mtr *meter) RecordHeartbeatDelay(delay time.Duration) {
	mtr.scope.Histogram("heartbeat_delay_seconds", latencyBuckets).RecordDuration(delay)
}

// RecordDroppedDatagram counts a datagram of an entry that is not registered, of which there are too many.
func (mtr *meter) RecordDroppedDatagram() {
	mtr.scope.Counter("datagrams_dropped").Inc(1)
}

// RecordUnconfirmed counts that no entry confirmed the newest records, so that the store is read.
func (mtr *meter) RecordUnconfirmed() {
	mtr.scope.Counter("unconfirmed_checks").Inc(1)
}

// RecordStale counts that a topic was read from the store because nothing had confirmed its newest records for long.
func (mtr *meter) RecordStale() {
	mtr.scope.Counter("stale_reads").Inc(1)
}

// RecordNewEra counts that the store has come back from an older copy.
func (mtr *meter) RecordNewEra() {
	mtr.scope.Counter("store_restores").Inc(1)
}

// RecordForwarded counts a request that is forwarded to another entry.
func (mtr *meter) RecordForwarded() {
	mtr.scope.Counter("requests_forwarded").Inc(1)
}

// RecordFromEntry counts a request that another entry forwards.
func (mtr *meter) RecordFromEntry() {
	mtr.scope.Counter("requests_from_entries").Inc(1)
}

// RecordSilentServices records of how many services no backend server answers this entry.
func (mtr *meter) RecordSilentServices(num int) {
	mtr.scope.Gauge("silent_services").Update(float64(num))
}

// RecordRateLimits records how many backend servers limit the rate of requests.
func (mtr *meter) RecordRateLimits(num int) {
	mtr.scope.Gauge("rate_limited_servers").Update(float64(num))
}

// RecordCorrection records by which factor the first events of a pool's slowest unit take longer than predicted.
func (mtr *meter) RecordCorrection(pool string, factor float64) {
	mtr.scope.Tagged(map[string]string{"pool": pool}).Gauge("first_event_correction").Update(factor)
}

// RecordModel records the numbers of replica groups and slots of a model, and the work that callers ask of it, also by availability zone.
func (mtr *meter) RecordModel(service string, sta grouper.ModelState) {
	sco := mtr.scope.Tagged(map[string]string{"service": service, "model": sta.Model})
	sco.Gauge("replica_groups").Update(float64(sta.Groups))
	sco.Gauge("replica_groups_target").Update(float64(sta.Target))
	sco.Gauge("replica_groups_needed").Update(float64(sta.Needed))
	sco.Gauge("slots").Update(float64(sta.Load.Slots))
	sco.Gauge("slots_in_use").Update(float64(sta.Load.InUse))
	sco.Gauge("prompt_tokens_per_second").Update(sta.Demand.PromptTokens)
	sco.Gauge("answer_tokens_per_second").Update(sta.Demand.AnswerTokens)
	sco.Gauge("utilization").Update(sta.Utilization)
	for zone, zon := range sta.Zones {
		tagged := sco.Tagged(map[string]string{"availability_zone": zone})
		tagged.Gauge("zone_replica_groups").Update(float64(zon.Groups))
		tagged.Gauge("zone_demand_share").Update(zon.Share)
	}
}
