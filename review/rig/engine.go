package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/hoster"
)

// Times of the engines: a join before the first request, and an open.
const (
	joinTime = 1200 * time.Millisecond
	openTime = 300 * time.Millisecond
)

// Figures of the model: how many members a group has, and the figures of its speed, which are those of the site.
const (
	Model         = "model-1"
	groupSize     = 2
	tokensAnEvent = 5
	tokenTime     = 8600 * time.Microsecond
)

// Engines are the workers of a service of model engines; a stream has as many tokens as the header Answer-Tokens of its request says.
type Engines struct {
	*Workers
}

// NewEngines returns a service without workers.
func NewEngines(service string, list List, rec *Record) *Engines {
	return &Engines{Workers: NewWorkers(service, list, rec)}
}

// Add starts a worker at a loopback address.
func (own *Engines) Add(ip string) error {
	eng := &engine{worker: worker{own: own.Workers, num: len(own.all)}}
	eng.extend = eng.describe
	eng.host = hoster.New(ip+":0", http.HandlerFunc(eng.serve))
	own.all = append(own.all, &eng.worker)
	if err := eng.begin(); err != nil {
		return err
	}
	go eng.beat()
	return nil
}

// engine is one worker with its membership in a group.
type engine struct {
	worker
	orders  int64
	loaded  string
	name    string
	epoch   int64
	members []string
	state   string
}

type order struct {
	Op      string   `json:"op"`
	Expect  *int64   `json:"expect"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

// describe adds what the worker says of its engine; the caller holds the lock.
func (eng *engine) describe(out map[string]any) {
	out["domain"], out["staged"], out["stage"], out["busy"] = "domain-1", []string{Model}, "mixed", eng.state == "joining"
	models := []any{}
	if eng.loaded != "" {
		models = append(models, map[string]any{"name": eng.loaded, "version": 1, "adapters": []any{}})
	}
	out["models"] = models
	if eng.name != "" {
		out["group"] = map[string]any{"name": eng.name, "epoch": eng.epoch, "rank": slices.Index(eng.members, eng.id), "state": eng.state}
	}
}

func (eng *engine) serve(wtr http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Lovagelever-Expect-Instance"); want != "" && want != eng.identity() {
		eng.worker.serve(wtr, req)
		return
	}
	switch req.URL.Path {
	case "/report":
		eng.report(wtr)
	case "/order":
		wtr.WriteHeader(eng.obey(req))
		eng.write()
	default:
		if !eng.isOpen() {
			wtr.Header().Set("Lovagelever-Instance", eng.identity())
			wtr.Header().Set("Lovagelever-Not-Run", "1")
			wtr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		eng.worker.serve(wtr, req)
	}
}

func (eng *engine) isOpen() bool {
	eng.mux.Lock()
	defer eng.mux.Unlock()
	return eng.state == "open"
}

func (eng *engine) report(wtr http.ResponseWriter) {
	eng.mux.Lock()
	out := map[string]any{"seq": eng.orders, "born": eng.born, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 1860000, "handles": 0, "pace": 1}
	eng.describe(out)
	eng.mux.Unlock()
	wtr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wtr).Encode(out)
}

// obey carries out an order and returns its status.
func (eng *engine) obey(req *http.Request) int {
	var ord order
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		return http.StatusBadRequest
	}
	eng.mux.Lock()
	defer eng.mux.Unlock()
	if ord.Expect != nil && *ord.Expect != eng.orders {
		return http.StatusConflict
	}
	same := ord.Group == eng.name && ord.Epoch == eng.epoch
	switch {
	case ord.Op == "stage":
		return http.StatusOK
	case ord.Op == "join" && ord.Epoch < eng.epoch:
		return http.StatusPreconditionFailed
	case ord.Op == "join":
		eng.name, eng.epoch, eng.members, eng.state, eng.loaded = ord.Group, ord.Epoch, ord.Members, "joining", ord.Model
		eng.later(joinTime, "joining", "ready")
	case ord.Op == "open" && same && eng.state == "ready":
		eng.later(openTime, "ready", "open")
	case ord.Op == "close" && same && eng.state == "open":
		eng.state = "ready"
	case ord.Op == "leave" && same:
		eng.name, eng.members, eng.state = "", nil, ""
	default:
		return http.StatusConflict
	}
	eng.orders++
	eng.own.rec.Logf("worker %s: %s %s of epoch %d", eng.id, ord.Op, ord.Group, ord.Epoch)
	return http.StatusAccepted
}

// later changes the state of the membership after a while, if it is still the same; the caller holds the lock.
func (eng *engine) later(after time.Duration, from, state string) {
	name, epoch := eng.name, eng.epoch
	time.AfterFunc(after, func() {
		eng.mux.Lock()
		if eng.name == name && eng.epoch == epoch && eng.state == from {
			eng.state = state
		}
		eng.mux.Unlock()
		eng.write()
	})
}

// PublishEngines writes a configuration with one route of streams for the model.
func PublishEngines(ope Operation) error {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": Host, "path_prefix": "/chat/", "type": "stream", "timeout_ms": 8000, "goal_ms": 400,
			"priority": 1, "service": "pool", "attempts": 2, "public": false, "resumable": true, "gap_aim_ms": 300, "sticky": true,
		}},
		"services": []any{map[string]any{
			"name": "pool", "health_path": "/healthz", "max_conns": 428, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
			"engine": map[string]any{
				"slots": 17, "kv_capacity": 1860000, "stride": tokensAnEvent, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
				"pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.0, "loads_at_once": 7, "far_x": 4.0,
				"models": []any{map[string]any{"name": Model, "size": groupSize, "share": 1, "pace": 1.0, "load_s": 12.0, "warm_s": 1.1}},
				"usual":  map[string]any{"prompt": 1000, "answer": 170}, "delays": []any{},
			},
		}},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{Key}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	ope.Put("keyed.op", "config", data)
	return nil
}

// Stream is a request for a stream: the most tokens of its answer, how many the caller expects, and how many it has.
type Stream struct {
	Most     int
	Expected int
	Has      int
}

// header returns the headers that describe the request.
func (stm Stream) header() http.Header {
	out := http.Header{}
	out.Set("Lovagelever-Model", Model)
	out.Set("Lovagelever-Tokens", fmt.Sprintf("1000,%d", stm.Most))
	out.Set("Lovagelever-Length-Hint", fmt.Sprint(stm.Expected))
	out.Set("Answer-Tokens", fmt.Sprint(stm.Has))
	return out
}
