package logfaker

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

var _ = Describe("Log", func() {
	var (
		clk *clockwork.FakeClock
		log *Log
		url string
	)

	start := func(opt Options) {
		clk = clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
		opt.Clock = clk
		log = New(opt)
		srv := httptest.NewServer(log.Handler())
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
		{"appends a record", `{}`, `{"a":1}`, 200, `{"offset":1}`, `"next":2`},
		{"refuses a record that is not a JSON value", `{}`, `{"a":`, 400, "", `"next":1`},
		{"refuses a record over 4 MiB", `{}`, `"` + strings.Repeat("a", maxRecordBytes) + `"`, 413, "", `"next":1`},
		{"refuses appends under the refuse_appends fault", `{"refuse_appends":true}`, `1`, 503, "", `"next":1`},
		{"stores a record whose answer is lost", `{"lose_answers":1}`, `1`, 0, "", `"next":2`},
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

	It("stores records byte for byte, with timestamps that never decrease", func() {
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
		{"returns at most limit records", Options{}, "from=2&limit=1", 200, `{"offset":2,`},
		{"returns no records past the end", Options{}, "from=9", 200, `"next":5,"records":[]`},
		{"answers 410 for records dropped by count", Options{RetainRecords: 2}, "from=1", 410, `{"first":3,"next":5}`},
		{"answers 410 for records dropped by age", Options{RetainFor: 2500 * time.Millisecond}, "from=1", 410, `{"first":3,"next":5}`},
		{"returns the retained records", Options{RetainRecords: 2}, "from=3", 200, `{"first":3,"next":5,"records":[{"offset":3`},
		{"returns no records when all have expired", Options{RetainFor: time.Millisecond}, "from=5", 200, `{"first":5,"next":5,"records":[]}`},
		{"refuses a query parameter that is not a number", Options{}, "from=x", 400, ""},
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
		name    string
		endWait func()
		answer  string
	}{
		{"returns at the next append", func() { post("/v1/records", `7`) }, `"data":7`},
		{"returns empty after wait_ms", func() { clk.Advance(time.Second) }, `"records":[]`},
	}
	for _, cas := range polls {
		It("serves a long poll that "+cas.name, func() {
			start(Options{})
			got := make(chan string, 1)
			go func() {
				_, body := read("from=1&wait_ms=1000")
				got <- body
			}()
			Expect(clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			cas.endWait()
			Expect(<-got).To(ContainSubstring(cas.answer))
		})
	}
})
