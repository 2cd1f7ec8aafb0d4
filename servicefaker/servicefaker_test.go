package servicefaker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
)

var _ = Describe("Faker", func() {
	var (
		clk *clockwork.FakeClock
		fkr *Faker
	)

	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		fkr = New(Options{
			Clock: clk, Service: "desk", Work: time.Second, WarmAfter: 2 * time.Second, ColdLimit: 2, WarmLimit: 4,
			Inventory: cataloger.Inventory{VMs: map[string]cataloger.VM{
				"s1": {Worker: cataloger.WorkerService, Service: "desk", Address: "127.0.0.1:0"},
				"e1": {Worker: cataloger.WorkerEngine, Address: "127.0.0.1:0"},
			}},
		})
		Expect(fkr.Start()).To(Succeed())
		DeferCleanup(fkr.Close)
	})

	faults := func(body string) {
		rec := httptest.NewRecorder()
		fkr.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/faults", strings.NewReader(body)))
		Expect(rec.Code).To(Equal(200), rec.Body.String())
	}
	limit := 0
	send := func(key string) chan int {
		req, err := http.NewRequest(http.MethodPost, "http://"+fkr.Address("s1")+"/seats", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("X-Cold-Limit", strconv.Itoa(limit))
		out := make(chan int, 1)
		go func() {
			// Without kept connections the transport never sends a request again.
			rsp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				out <- 0
				return
			}
			defer rsp.Body.Close()
			out <- rsp.StatusCode
		}()
		return out
	}
	working := func(num int) { Expect(clk.BlockUntilContext(context.Background(), num)).To(Succeed()) }
	now := func() counts { return fkr.counts().(counts) }

	cases := []struct {
		name     string
		busy     time.Duration
		faults   string
		calls    int
		statuses []int
		fell     int
		refused  int
	}{
		{"answers within its cold limit", 0, `{}`, 2, []int{200, 200}, 0, 0},
		{"falls over above its cold limit", 0, `{}`, 3, []int{0, 0, 0}, 1, 0},
		{"answers above its cold limit when warm", 2 * time.Second, `{}`, 4, []int{200, 200, 200, 200}, 0, 0},
		{"falls over when it turned cold", 2 * time.Second, `{"vms":{"s1":{"turn_cold":true}}}`, 3, []int{0, 0, 0}, 1, 0},
		{"runs a call whose answer is lost", 0, `{"vms":{"s1":{"lose_answers":1}}}`, 1, []int{0}, 0, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			fkr.servers["s1"].busy = cas.busy
			faults(cas.faults)
			accepted := clk.Now().UnixMilli()
			var outs []chan int
			for idx := range cas.calls {
				outs = append(outs, send("k"))
				Eventually(func() int { return now().Runs["k"] }).Should(Equal(idx + 1))
			}
			if cas.fell == 0 {
				working(cas.calls)
				clk.Advance(time.Second)
			}
			var statuses []int
			for _, out := range outs {
				statuses = append(statuses, <-out)
			}
			Expect(statuses).To(Equal(cas.statuses))
			Expect(now().VMs["s1"].FellOver).To(Equal(cas.fell))
			Expect(now().VMs["s1"].Started).To(Equal(cas.calls))
			Expect(now().VMs["s1"].AcceptedAtMS).To(Equal(accepted))
		})
	}

	It("does not run a call that its caller lets it run only when warm", func() {
		fkr.servers["s1"].busy = time.Minute
		for range 3 {
			send("k")
		}
		working(3)
		faults(`{"vms":{"s1":{"turn_cold":true}}}`)
		limit = 2
		DeferCleanup(func() { limit = 0 })
		Expect(<-send("other")).To(Equal(503))
		Expect(now().Runs).To(Equal(map[string]int{"k": 3}))
		Expect(now().VMs["s1"].FellOver).To(BeZero())
	})

	It("does not run a call above its warm limit", func() {
		fkr.servers["s1"].busy = time.Minute
		for range 4 {
			send("k")
		}
		working(4)
		Expect(<-send("other")).To(Equal(503))
		Expect(now().Runs).To(Equal(map[string]int{"k": 4}))
		Expect(now().VMs["s1"].Refused).To(Equal(1))
	})

	It("comes back empty after a kill", func() {
		before := fkr.servers["s1"].started
		fkr.servers["s1"].busy = time.Minute
		out := send("k")
		working(1)
		faults(`{"vms":{"s1":{"kill":true}}}`)
		Expect(<-out).To(Equal(0))
		faults(`{"vms":{"s1":{"slow_ms":0}}}`)
		Expect(<-send("k")).To(Equal(0))
		faults(`{"vms":{"s1":{"revive":true}}}`)
		Expect(fkr.servers["s1"].warm()).To(BeFalse())
		out = send("k")
		Eventually(func() int { return now().Runs["k"] }).Should(Equal(2))
		working(2)
		clk.Advance(time.Second)
		Expect(<-out).To(Equal(200))
		Expect(fkr.servers["s1"].started).NotTo(Equal(before))
	})

	It("knows only its own VMs", func() {
		rec := httptest.NewRecorder()
		body := strings.NewReader(`{"vms":{"e1":{"kill":true}}}`)
		fkr.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/faults", body))
		Expect(rec.Code).To(Equal(400))
		Expect(fkr.Address("e1")).To(BeEmpty())
	})
})
