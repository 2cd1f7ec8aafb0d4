package vmlistfaker

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lag is the time after which readers see a change.
const lag = 2 * time.Second

var _ = Describe("Lister", func() {
	live := VM{Name: "a", Address: "127.0.0.1:1", State: StateLive}
	leaving := VM{Name: "a", Address: "127.0.0.1:1", State: StateLeaving, LeavesInMS: 5000} // of 7000 when it was set, after the lag
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		status int
		before []VM
		after  []VM
	}{
		{"a VM set to leaving", "POST", "/v1/vms", `{"name":"a","address":"127.0.0.1:1","state":"leaving","leaves_in_ms":7000}`, 200, []VM{live}, []VM{leaving}},
		{"a removed VM", "DELETE", "/v1/vms/a", "", 200, []VM{live}, []VM{}},
		{"a refused unknown state", "POST", "/v1/vms", `{"name":"a","state":"odd"}`, 400, []VM{live}, []VM{live}},
		{"a refused VM without a name", "POST", "/v1/vms", `{"state":"live"}`, 400, []VM{live}, []VM{live}},
	}
	for _, cas := range cases {
		It("shows the outcome only after the lag: "+cas.name, func() {
			clk := clockwork.NewFakeClock()
			lst := New(Options{Clock: clk, Lag: lag, VMs: []VM{live}})
			rec := httptest.NewRecorder()
			lst.Handler().ServeHTTP(rec, httptest.NewRequest(cas.method, cas.path, strings.NewReader(cas.body)))
			Expect(rec.Code).To(Equal(cas.status))
			clk.Advance(lag - time.Nanosecond)
			Expect(lst.visible()).To(Equal(cas.before))
			clk.Advance(time.Nanosecond)
			Expect(lst.visible()).To(Equal(cas.after))
		})
	}

	It("returns the list as JSON", func() {
		lst := New(Options{Clock: clockwork.NewFakeClock(), VMs: []VM{live}})
		rec := httptest.NewRecorder()
		lst.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/vms", nil))
		Expect(rec.Body.String()).To(MatchJSON(`{"vms":[{"name":"a","address":"127.0.0.1:1","state":"live"}]}`))
	})
})
