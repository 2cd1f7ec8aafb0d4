package weightkeeper

import (
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Keeper", func() {
	cases := []struct {
		name   string
		after  time.Duration
		method string
		body   string
		status int
		answer string
	}{
		{"the next transfer waits for both before", 0, "POST", `{"vm":"c","gigabytes":1}`, 200, `{"wait_ms":15000}`},
		{"a later transfer waits for the rest", 10 * time.Second, "POST", `{"vm":"c","gigabytes":1}`, 200, `{"wait_ms":5000}`},
		{"a transfer after all starts at once", time.Minute, "POST", `{"vm":"c","gigabytes":1}`, 200, `{"wait_ms":0}`},
		{"the queue shows what is left", 5 * time.Second, "GET", ``, 200, `{"gigabytes_per_second":2,"queued_gigabytes":20}`},
		{"less than nothing is refused", 0, "POST", `{"vm":"c","gigabytes":-1}`, 400, `{"error":"weightkeeper: -1 gigabytes not valid"}`},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			clk := clockwork.NewFakeClock()
			kpr := New(Options{Clock: clk, GigabytesPerSecond: 2})
			Expect(kpr.reserve(10)).To(BeZero())
			Expect(kpr.reserve(20)).To(Equal(5 * time.Second))
			clk.Advance(cas.after)
			rec := httptest.NewRecorder()
			kpr.Handler().ServeHTTP(rec, httptest.NewRequest(cas.method, "/v1/leases", strings.NewReader(cas.body)))
			Expect(rec.Code).To(Equal(cas.status))
			Expect(rec.Body.String()).To(MatchJSON(cas.answer))
		})
	}
})
