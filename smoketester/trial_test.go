package smoketester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/requester"
)

// fakeDeployment is one entry and its backend servers, with selectable faults: wrongID answers with another request's ID, runsTwice runs a repeated key again, and refuseOnce refuses the first call as not run.
type fakeDeployment struct {
	wrongID    bool
	runsTwice  bool
	refuseOnce bool

	lock    sync.Mutex
	address string
	count   int
	runs    map[string]int
}

func (dep *fakeDeployment) ServeHTTP(res http.ResponseWriter, req *http.Request) {
	dep.lock.Lock()
	defer dep.lock.Unlock()
	dep.count++
	enc := json.NewEncoder(res)
	switch {
	case req.URL.Path == "/v1/status":
		_ = enc.Encode(requester.Status{
			Revision: 2,
			Entries:  []requester.Entry{{Name: "e", Reachable: true, Fresh: true, Revision: 2}},
			Models:   []requester.Model{{Name: "scene-composer", Wanted: 8, Serving: 8}},
		})
	case req.URL.Path == "/v1/catalog":
		spec := cataloger.WorkspaceSpec{}
		inv := cataloger.Inventory{Workspaces: map[string]cataloger.WorkspaceSpec{"a": spec, "b": spec}}
		_ = enc.Encode(requester.Revision{Revision: 2, Catalog: cataloger.Catalog{Inventory: inv}})
	case req.URL.Path == "/v1/locate":
		_ = enc.Encode(requester.Location{Entry: dep.address, KeyPrefix: "p"})
	case req.URL.Path == "/v1/counts":
		_ = enc.Encode(runCounts{Runs: dep.runs})
	case strings.HasPrefix(req.URL.Path, "/v1/services/venue-api/"):
		dep.serveCall(res, req.Header.Get("Idempotency-Key"))
	default:
		dep.serveModel(res, req)
	}
}

func (dep *fakeDeployment) serveCall(res http.ResponseWriter, key string) {
	if dep.refuseOnce {
		dep.refuseOnce = false
		res.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(res, `{"error": {"type": "not_run", "message": "busy", "retry_after_ms": 1}}`)
		return
	}
	ran := dep.runs[key] > 0
	if ran {
		res.Header().Set("X-Replayed", "true")
	}
	if !ran || dep.runsTwice {
		dep.runs[key]++
	}
	fmt.Fprint(res, "done")
}

func (dep *fakeDeployment) serveModel(res http.ResponseWriter, req *http.Request) {
	var que completionRequest
	_ = json.NewDecoder(req.Body).Decode(&que)
	id := fmt.Sprintf("r%d", dep.count)
	res.Header().Set("X-Request-Id", id)
	if dep.wrongID {
		id = "other"
	}
	if !que.Stream {
		fmt.Fprintf(res, `{"id": %q, "choices": [{"message": {"content": "a b c"}, "finish_reason": "stop"}], "usage": {"completion_tokens": 3}}`, id)
		return
	}
	fmt.Fprint(res, strings.ReplaceAll(first+second+last+end, "r1", id))
}

var trials = []struct {
	name       string
	deployment fakeDeployment
	last       string
	fails      bool
}{
	{"answers correctly", fakeDeployment{}, "served: alokrekha: model answers whole 4 of 4, side effects run once 2 of 2, revision 2 in force on 1 of 1 entries", false},
	{"refuses a call once as not run", fakeDeployment{refuseOnce: true}, "served: alokrekha: model answers whole 4 of 4, side effects run once 2 of 2, revision 2 in force on 1 of 1 entries", false},
	{"answers with another request's ID", fakeDeployment{wrongID: true}, "served: alokrekha: model answers whole 0 of 4, side effects run once 2 of 2, revision 2 in force on 1 of 1 entries", true},
	{"runs a call twice", fakeDeployment{runsTwice: true}, "served: alokrekha: model answers whole 4 of 4, side effects run once 0 of 2, revision 2 in force on 1 of 1 entries", true},
}

var _ = Describe("Trial", func() {
	for i := range trials {
		cas := &trials[i]
		It("reports a deployment that "+cas.name, func() {
			dep := &cas.deployment
			dep.runs = map[string]int{}
			srv := httptest.NewServer(dep)
			defer srv.Close()
			dep.address = srv.Listener.Addr().String()
			var out bytes.Buffer
			tri := Trial{Deployment: "alokrekha", Entries: []string{dep.address}, ServiceControl: dep.address, Out: &out, Clock: clockwork.NewRealClock()}
			err := tri.Run(context.Background())
			Expect(errors.Is(err, ErrTrialFailed)).To(Equal(cas.fails), "%v", err)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			Expect(lines[len(lines)-1]).To(Equal(cas.last))
		})
	}
	It("rejects an unknown deployment", func() {
		tri := Trial{Deployment: "other"}
		Expect(errors.Is(tri.Run(context.Background()), ErrUnknownDeployment)).To(BeTrue())
	})
})
