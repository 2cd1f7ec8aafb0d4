package logkeeper

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Keeper", func() {
	var (
		clk *clockwork.FakeClock
		kpr *Keeper
		url string
	)

	start := func(opt Options) {
		clk = clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
		opt.Clock = clk
		kpr = New(opt)
		srv := httptest.NewServer(kpr.Handler())
		DeferCleanup(srv.Close)
		url = srv.URL
	}
	text := func(rsp *http.Response, err error) (int, string) {
		if err != nil {
			return 0, ""
		}
		defer rsp.Body.Close()
		data, err := io.ReadAll(rsp.Body)
		Expect(err).NotTo(HaveOccurred())
		return rsp.StatusCode, strings.TrimSpace(string(data))
	}
	post := func(path, body string) (int, string) {
		return text(http.Post(url+path, "application/json", strings.NewReader(body)))
	}
	read := func(query string) (int, string) { return text(http.Get(url + "/v1/records?" + query)) }

	appends := []struct {
		name   string
		faults string
		body   string
		status int
		answer string
		next   string
	}{
		{"takes a record", `{}`, `{"a":1}`, 200, `{"offset":1}`, `"next":2`},
		{"refuses what is no JSON value", `{}`, `{"a":`, 400, "", `"next":1`},
		{"refuses a record over 4 MiB", `{}`, `"` + strings.Repeat("a", maxRecord) + `"`, 413, "", `"next":1`},
		{"refuses appends when told", `{"refuse_appends":true}`, `1`, 503, "", `"next":1`},
		{"keeps a record whose answer is lost", `{"lose_answers":1}`, `1`, 0, "", `"next":2`},
	}
	for _, cas := range appends {
		It(cas.name, func() {
			start(Options{})
			status, _ := post("/v1/faults", cas.faults)
			Expect(status).To(Equal(200))
			status, body := post("/v1/records", cas.body)
			Expect(status).To(Equal(cas.status))
			Expect(body).To(ContainSubstring(cas.answer))
			_, body = read("from=1")
			Expect(body).To(ContainSubstring(cas.next))
		})
	}

	It("keeps records byte for byte, with times that never go back", func() {
		start(Options{})
		post("/v1/records", `{ "a" : "<&>" }`)
		clk.Advance(-time.Minute)
		post("/v1/records", `2`)
		_, body := read("from=1")
		Expect(body).To(Equal(`{"first":1,"next":3,"records":[` +
			`{"offset":1,"at":"2026-01-02T03:04:05Z","data":{ "a" : "<&>" }},` +
			`{"offset":2,"at":"2026-01-02T03:04:05Z","data":2}]}`))
	})

	reads := []struct {
		name   string
		opt    Options
		query  string
		status int
		answer string
	}{
		{"honours the limit", Options{}, "from=2&limit=1", 200, `{"offset":2,`},
		{"answers empty past the end", Options{}, "from=9", 200, `"next":5,"records":[]`},
		{"drops by count", Options{RetainRecords: 2}, "from=1", 410, `{"first":3,"next":5}`},
		{"drops by age", Options{RetainFor: 2500 * time.Millisecond}, "from=1", 410, `{"first":3,"next":5}`},
		{"gives what is retained", Options{RetainRecords: 2}, "from=3", 200, `{"first":3,"next":5,"records":[{"offset":3`},
		{"drops everything by age", Options{RetainFor: time.Millisecond}, "from=5", 200, `{"first":5,"next":5,"records":[]}`},
		{"refuses a query that is no number", Options{}, "from=x", 400, ""},
	}
	for _, cas := range reads {
		It(cas.name, func() {
			start(cas.opt)
			for range 4 {
				post("/v1/records", `1`)
				clk.Advance(time.Second)
			}
			status, body := read(cas.query)
			Expect(status).To(Equal(cas.status))
			Expect(body).To(ContainSubstring(cas.answer))
			Expect(strings.Count(body, "offset") < 3).To(BeTrue())
		})
	}

	polls := []struct {
		name   string
		wake   func()
		answer string
	}{
		{"wakes at an append", func() { post("/v1/records", `7`) }, `"data":7`},
		{"ends after its time", func() { clk.Advance(time.Second) }, `"records":[]`},
	}
	for _, cas := range polls {
		It("holds a read that "+cas.name, func() {
			start(Options{})
			got := make(chan string, 1)
			go func() {
				_, body := read("from=1&wait_ms=1000")
				got <- body
			}()
			Expect(clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			cas.wake()
			Expect(<-got).To(ContainSubstring(cas.answer))
		})
	}
})
