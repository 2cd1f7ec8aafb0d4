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

var _ = Describe("Simulator", func() {
	var (
		clk *clockwork.FakeClock
		sim *Simulator
	)

	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		sim = New(Options{
			Clock: clk, Service: "desk", CallDuration: time.Second, WarmAfter: 2 * time.Second, ColdLimit: 2, WarmLimit: 4,
			Inventory: cataloger.Inventory{VMs: map[string]cataloger.VM{
				"s1": {WorkerKind: cataloger.WorkerService, Service: "desk", Address: "127.0.0.1:0"},
				"e1": {WorkerKind: cataloger.WorkerEngine, Address: "127.0.0.1:0"},
			}},
		})
		Expect(sim.Start()).To(Succeed())
		DeferCleanup(sim.Close)
	})

	faults := func(body string) {
		rec := httptest.NewRecorder()
		sim.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/faults", strings.NewReader(body)))
		Expect(rec.Code).To(Equal(200), rec.Body.String())
	}
	limit := 0
	send := func(key string) chan int {
		req, err := http.NewRequest(http.MethodPost, "http://"+sim.Address("s1")+"/seats", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("X-Cold-Limit", strconv.Itoa(limit))
		out := make(chan int, 1)
		go func() {
			// The HTTP transport resends a request only on a reused connection, so keep-alives are off.
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
	waitForCalls := func(num int) { Expect(clk.BlockUntilContext(context.Background(), num)).To(Succeed()) }
	currentCounts := func() counts { return sim.counts().(counts) }

	cases := []struct {
		name     string
		busy     time.Duration
		faults   string
		calls    int
		statuses []int
		fellOver int
		refused  int
	}{
		{"answers within its cold limit", 0, `{}`, 2, []int{200, 200}, 0, 0},
		{"restarts and breaks all calls above its cold limit", 0, `{}`, 3, []int{0, 0, 0}, 1, 0},
		{"answers above its cold limit when warm", 2 * time.Second, `{}`, 4, []int{200, 200, 200, 200}, 0, 0},
		{"restarts above its cold limit after a turn_cold fault", 2 * time.Second, `{"vms":{"s1":{"turn_cold":true}}}`, 3, []int{0, 0, 0}, 1, 0},
		{"runs a call whose answer is lost", 0, `{"vms":{"s1":{"lose_answers":1}}}`, 1, []int{0}, 0, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			sim.servers["s1"].busyTime = cas.busy
			faults(cas.faults)
			accepted := clk.Now().UnixMilli()
			var outs []chan int
			for idx := range cas.calls {
				outs = append(outs, send("k"))
				Eventually(func() int { return currentCounts().Runs["k"] }).Should(Equal(idx + 1))
			}
			if cas.fellOver == 0 {
				waitForCalls(cas.calls)
				clk.Advance(time.Second)
			}
			var statuses []int
			for _, out := range outs {
				statuses = append(statuses, <-out)
			}
			Expect(statuses).To(Equal(cas.statuses))
			Expect(currentCounts().VMs["s1"].FellOver).To(Equal(cas.fellOver))
			Expect(currentCounts().VMs["s1"].Started).To(Equal(cas.calls))
			Expect(currentCounts().VMs["s1"].AcceptedAtMS).To(Equal(accepted))
		})
	}

	It("refuses a call above the cold limit that the caller sent", func() {
		sim.servers["s1"].busyTime = time.Minute
		for range 3 {
			send("k")
		}
		waitForCalls(3)
		faults(`{"vms":{"s1":{"turn_cold":true}}}`)
		limit = 2
		DeferCleanup(func() { limit = 0 })
		Expect(<-send("other")).To(Equal(503))
		Expect(currentCounts().Runs).To(Equal(map[string]int{"k": 3}))
		Expect(currentCounts().VMs["s1"].FellOver).To(BeZero())
	})

	It("refuses a call above its warm limit", func() {
		sim.servers["s1"].busyTime = time.Minute
		for range 4 {
			send("k")
		}
		waitForCalls(4)
		Expect(<-send("other")).To(Equal(503))
		Expect(currentCounts().Runs).To(Equal(map[string]int{"k": 4}))
		Expect(currentCounts().VMs["s1"].Refused).To(Equal(1))
	})

	It("restarts cold and without calls after a kill", func() {
		before := sim.servers["s1"].started
		sim.servers["s1"].busyTime = time.Minute
		out := send("k")
		waitForCalls(1)
		faults(`{"vms":{"s1":{"kill":true}}}`)
		Expect(<-out).To(Equal(0))
		faults(`{"vms":{"s1":{"slow_ms":0}}}`)
		Expect(<-send("k")).To(Equal(0))
		faults(`{"vms":{"s1":{"revive":true}}}`)
		Expect(sim.servers["s1"].warm()).To(BeFalse())
		out = send("k")
		Eventually(func() int { return currentCounts().Runs["k"] }).Should(Equal(2))
		waitForCalls(2)
		clk.Advance(time.Second)
		Expect(<-out).To(Equal(200))
		Expect(sim.servers["s1"].started).NotTo(Equal(before))
	})

	It("refuses faults for a VM of another service", func() {
		rec := httptest.NewRecorder()
		body := strings.NewReader(`{"vms":{"e1":{"kill":true}}}`)
		sim.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/faults", body))
		Expect(rec.Code).To(Equal(400))
		Expect(sim.Address("e1")).To(BeEmpty())
	})
})
