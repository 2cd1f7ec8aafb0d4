package disturber

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("FaultInjector", func() {
	var (
		clk  *clockwork.FakeClock
		dis  *FaultInjector
		srv  *httptest.Server
		runs chan struct{}
	)

	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		dis = New(clk)
		runs = make(chan struct{}, 10)
		mux := http.NewServeMux()
		mux.HandleFunc("POST /v1/faults", FaultsHandler(dis.Faults, dis.SetFaults))
		mux.Handle("/", dis.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs <- struct{}{} })))
		srv = httptest.NewServer(mux)
		DeferCleanup(srv.Close)
	})

	post := func(body string) int {
		rsp, err := http.Post(srv.URL+"/v1/faults", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer rsp.Body.Close()
		return rsp.StatusCode
	}

	cases := []struct {
		name   string
		bodies []string
		status int
		cut    bool
		left   Faults
	}{
		{"no faults", []string{`{}`}, 200, false, Faults{}},
		{"the fault down", []string{`{"down":true}`}, 200, true, Faults{Down: true}},
		{"a cut of the caller's source IP", []string{`{"cut_sources":["127.0.0.1"]}`}, 200, true, Faults{CutSources: []string{"127.0.0.1"}}},
		{"a cut of another source IP", []string{`{"cut_sources":["127.0.0.9"]}`}, 200, false, Faults{CutSources: []string{"127.0.0.9"}}},
		{"fields merged into earlier faults", []string{`{"down":true}`, `{"slow_ms":0}`}, 200, true, Faults{Down: true}},
		{"cleared faults", []string{`{"down":true}`, `{}`}, 200, false, Faults{}},
		{"an unknown field", []string{`{"dwon":true}`}, 400, false, Faults{}},
		{"a body that is not JSON", []string{`down`}, 400, false, Faults{}},
	}
	for _, cas := range cases {
		It("handles "+cas.name, func() {
			status := 0
			for _, body := range cas.bodies {
				status = post(body)
			}
			Expect(status).To(Equal(cas.status))
			Expect(dis.Faults()).To(Equal(cas.left))
			rsp, err := http.Get(srv.URL)
			if cas.cut {
				Expect(err).To(HaveOccurred())
				Expect(runs).To(BeEmpty())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(rsp.Body.Close()).To(Succeed())
			Expect(runs).To(HaveLen(1))
		})
	}

	openRequests := func() int {
		dis.mut.Lock()
		defer dis.mut.Unlock()
		return len(dis.requests)
	}

	It("delays requests by slow_ms", func() {
		Expect(post(`{"slow_ms":1000}`)).To(Equal(200))
		done := make(chan error, 1)
		go func() {
			rsp, err := http.Get(srv.URL)
			if err == nil {
				err = rsp.Body.Close()
			}
			done <- err
		}()
		Expect(clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
		Expect(runs).To(BeEmpty())
		clk.Advance(time.Second)
		Expect(<-done).To(Succeed())
	})

	pauses := []struct {
		name string
		end  func()
		runs int
	}{
		{"handles a paused request after the pause even if the client canceled it", func() {}, 1},
		{"never handles a paused request that was aborted", func() { dis.AbortRequests() }, 0},
	}
	for _, cas := range pauses {
		It(cas.name, func() {
			Expect(post(`{"pause":true}`)).To(Equal(200))
			ctx, cancel := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, nil)
			Expect(err).NotTo(HaveOccurred())
			done := make(chan error, 1)
			go func() {
				_, err := http.DefaultClient.Do(req)
				done <- err
			}()
			Eventually(openRequests).Should(Equal(1))
			cancel()
			Expect(<-done).To(HaveOccurred())
			Expect(runs).To(BeEmpty())
			cas.end()
			Expect(post(`{}`)).To(Equal(200))
			Eventually(openRequests).Should(BeZero())
			Expect(runs).To(HaveLen(cas.runs))
		})
	}
})
