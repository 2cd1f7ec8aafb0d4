package weightstorefaker

import (
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Store", func() {
	cases := []struct {
		name   string
		after  time.Duration
		method string
		body   string
		status int
		answer string
	}{
		{"a new transfer waits for both queued ones", 0, "POST", `{"vm":"c","gigabytes":1}`, 200, `{"wait_ms":15000}`},
		{"a later transfer waits for the remaining ones", 10 * time.Second, "POST", `{"vm":"c","gigabytes":1}`, 200, `{"wait_ms":5000}`},
		{"a transfer with no others queued starts at once", time.Minute, "POST", `{"vm":"c","gigabytes":1}`, 200, `{"wait_ms":0}`},
		{"the load reports the queued gigabytes", 5 * time.Second, "GET", ``, 200, `{"gigabytes_per_second":2,"queued_gigabytes":20}`},
		{"a negative size is refused", 0, "POST", `{"vm":"c","gigabytes":-1}`, 400, `{"error":"weightstorefaker: -1 gigabytes not valid"}`},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			clk := clockwork.NewFakeClock()
			sto := New(Options{Clock: clk, GigabytesPerSecond: 2})
			Expect(sto.reserve(10)).To(BeZero())
			Expect(sto.reserve(20)).To(Equal(5 * time.Second))
			clk.Advance(cas.after)
			rec := httptest.NewRecorder()
			sto.Handler().ServeHTTP(rec, httptest.NewRequest(cas.method, "/v1/leases", strings.NewReader(cas.body)))
			Expect(rec.Code).To(Equal(cas.status))
			Expect(rec.Body.String()).To(MatchJSON(cas.answer))
		})
	}
})
