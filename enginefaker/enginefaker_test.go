package enginefaker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/weightkeeper"
)

var _ = Describe("Faker", func() {
	answers := []struct {
		name   string
		vms    []string
		resume int
	}{
		{"in one fabric domain", []string{"a1", "a2"}, 0},
		{"across fabric domains", []string{"a1", "b1"}, 0},
		{"from a token on", []string{"a1", "a2"}, 5},
		{"from its last token on", []string{"a1", "a2"}, len(Answer(messages("hello"), 0))},
	}
	for _, cas := range answers {
		It("answers "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, cas.vms...)
			ben.flow()
			rep := ben.chat("a1", "r1", "hello", cas.resume)
			Expect(rep.text()).To(Equal(whole("hello", cas.resume)))
			Expect(rep.done).To(BeTrue())
			last := rep.chunks[len(rep.chunks)-1]
			Expect(rep.chunks[0].Index).To(Equal(cas.resume))
			Expect(rep.chunks).To(HaveLen(last.Index - cas.resume + 1))
			Expect(last.Usage.CompletionTokens).To(Equal(len(Answer(messages("hello"), 0))))
			Expect(*last.Choices[0].FinishReason).To(Equal("stop"))
			Expect(ben.count("a1").Completed).To(Equal(1))
			Expect(ben.count(cas.vms[1]).AcceptedAtMS).NotTo(BeZero())
		})
	}

	fences := []struct {
		name   string
		vm     string
		ord    order
		status int
		state  string
	}{
		{"an older load where fences are checked", "a1", order{Order: orderLoad, Group: "old", Fence: 4}, 409, stateReady},
		{"an older unload where fences are checked", "a1", order{Order: orderUnload, Fence: 4}, 409, stateReady},
		{"an unload of its own fence", "a1", order{Order: orderUnload, Fence: 5}, 200, stateEmpty},
		{"an older unload where they are ignored", "a2", order{Order: orderUnload, Fence: 4}, 200, stateEmpty},
		{"the same load again", "a1", order{Order: orderLoad, Group: "g", Fence: 5}, 200, stateReady},
		{"an unknown order", "a1", order{Order: "dance", Fence: 9}, 400, stateReady},
		{"a load without group", "a1", order{Order: orderLoad, Fence: 9}, 400, stateReady},
	}
	for _, cas := range fences {
		It("meets "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			cas.ord.Members = []member{{VM: cas.vm}}
			Expect(ben.order(cas.vm, cas.ord)).To(Equal(cas.status))
			Expect(ben.state(cas.vm)).To(Equal(cas.state))
		})
	}

	refusals := []struct {
		name   string
		fence  int64
		vms    []string
		ask    string
		strike func(*bench)
		status int
		reason string
	}{
		{"another fence", 6, []string{"a1", "a2"}, "a1", nil, 409, refusedFence},
		{"a member of rank 1", 5, []string{"a1", "a2"}, "a2", nil, 503, refusedNotReady},
		{"a lost member", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.faults(`{"vms":{"a2":{"kill":true}}}`) }, 503, refusedNotReady},
		{"a lost member of another domain", 5, []string{"a1", "b1"}, "a1", func(ben *bench) { ben.two.Close() }, 503, refusedNotReady},
		{"a member that took another order", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.load("h", 4, "a2") }, 503, refusedNotReady},
		{"an engine that fell over", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.engine("a1").restart(reasonFellOver) }, 503, refusedCold},
		{"a full queue", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.engine("a1").queue = make([]*job, 256) }, 503, refusedOverloaded},
	}
	for _, cas := range refusals {
		It("refuses a request to "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", cas.fence, cas.vms...)
			if cas.strike != nil {
				cas.strike(ben)
			}
			Expect(ben.chat(cas.ask, "r1", "hello", 0).status).To(Equal(cas.status))
			Expect(ben.count(cas.ask).Refused).To(Equal(map[string]int{cas.reason: 1}))
			Expect(ben.count(cas.ask).Started).To(BeZero())
		})
	}

	breaks := []struct {
		name   string
		vms    []string
		text   string
		strike func(*bench)
		after  map[string]string
	}{
		{"a killed member", []string{"a1", "a2"}, "hello", func(ben *bench) { ben.faults(`{"vms":{"a2":{"kill":true}}}`) },
			map[string]string{"a1": stateReady, "a2": stateEmpty}},
		{"a killed rank 0", []string{"a1", "a2"}, "hello", func(ben *bench) { ben.faults(`{"vms":{"a1":{"kill":true}}}`) },
			map[string]string{"a1": stateEmpty, "a2": stateReady}},
		{"a lost member of another domain", []string{"a1", "b1"}, "hello", func(ben *bench) { ben.two.Close() },
			map[string]string{"a1": stateReady}},
		{"the crash marker", []string{"a1", "a2"}, "please crash-the-engine now", func(*bench) {},
			map[string]string{"a1": stateEmpty, "a2": stateEmpty}},
		{"the crash marker in two domains", []string{"a1", "b1"}, "please crash-the-engine now", func(*bench) {},
			map[string]string{"a1": stateEmpty, "b1": stateEmpty, "a2": stateEmpty}},
		{"a cut source", []string{"a1", "a2"}, "hello", func(ben *bench) { ben.faults(`{"cut_sources":["127.0.0.1"]}`) },
			map[string]string{"a1": stateReady, "a2": stateReady}},
	}
	for _, cas := range breaks {
		It("breaks a request at "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, cas.vms...)
			out := ben.later("r1", cas.text)
			Expect(ben.clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			cas.strike(ben)
			ben.flow()
			rep := <-out
			Expect(rep.broken).To(BeTrue())
			Expect(rep.done).To(BeFalse())
			for vm, state := range cas.after {
				Eventually(func() string { return ben.state(vm) }).Should(Equal(state))
			}
			Eventually(func() int { return ben.count("a1").Broken + ben.count("a1").Cancelled }).Should(Equal(1))
			Expect(ben.count("a1").ServedWithMemberMissing).To(BeZero())
		})
	}

	colds := []struct {
		name  string
		warm  bool
		turn  bool
		calls int
		fell  int
	}{
		{"stands at its cold limit", false, false, 4, 0},
		{"falls over above its cold limit", false, false, 5, 1},
		{"stands above its cold limit when warm", true, false, 6, 0},
		{"falls over above its cold limit when it turned cold", true, true, 5, 1},
	}
	for _, cas := range colds {
		It(cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			if cas.warm {
				ben.warm("a1")
			}
			if cas.turn {
				ben.faults(`{"vms":{"a1":{"turn_cold":true}}}`)
			}
			var outs []chan reply
			for idx := range cas.calls {
				outs = append(outs, ben.later("r", "hello"))
				Eventually(func() int { return ben.count("a1").Started }).Should(Equal(idx + 1))
			}
			ben.flow()
			for _, out := range outs {
				Expect((<-out).broken).To(Equal(cas.fell > 0))
			}
			Expect(ben.count("a1").FellOver).To(Equal(cas.fell))
		})
	}

	It("refuses what its caller lets it run only when warm, and runs on", func() {
		ben := newBench(Options{})
		ben.load("g", 5, "a1", "a2")
		ben.warm("a1")
		var outs []chan reply
		for idx := range 6 {
			outs = append(outs, ben.later("r", "hello"))
			Eventually(func() int { return ben.count("a1").Started }).Should(Equal(idx + 1))
		}
		ben.faults(`{"vms":{"a1":{"turn_cold":true}}}`)
		Expect(ben.chatWithin(4, "a1", "late", "hello", 0).status).To(Equal(503))
		Expect(ben.count("a1").Refused).To(Equal(map[string]int{refusedCold: 1}))
		ben.flow()
		for _, out := range outs {
			Expect((<-out).broken).To(BeFalse())
		}
		Expect(ben.count("a1").FellOver).To(BeZero())
	})

	twists := []struct {
		name   string
		faults string
		least  time.Duration
		check  func(rep reply)
	}{
		{"cuts the end", `{"vms":{"a1":{"truncate":true}}}`, 0, func(rep reply) {
			Expect(rep.done).To(BeFalse())
			Expect(rep.chunks).To(HaveLen(1))
		}},
		{"sends a chunk twice", `{"vms":{"a1":{"repeat_chunk":true}}}`, 0, func(rep reply) {
			Expect(rep.done).To(BeTrue())
			Expect(rep.chunks[1]).To(Equal(rep.chunks[0]))
		}},
		{"crosses answers", `{"vms":{"a1":{"cross_answers":true}}}`, 0, func(rep reply) {
			Expect(rep.chunks[0].ID).To(Equal("r1"))
			Expect(rep.text()).To(HavePrefix(whole("first", 0)[:10]))
		}},
		{"sends late", `{"vms":{"a1":{"late_answer_ms":5000}}}`, 5 * time.Second, func(rep reply) {
			Expect(rep.text()).To(Equal(whole("second", 0)))
		}},
		{"steps slowly", `{"vms":{"a2":{"slow_factor":100}}}`, 6 * time.Second, func(rep reply) {
			Expect(rep.text()).To(Equal(whole("second", 0)))
		}},
	}
	for _, cas := range twists {
		It(cas.name+" in one stream only", func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			ben.flow()
			Expect(ben.chat("a1", "r1", "first", 0).text()).To(Equal(whole("first", 0)))
			ben.faults(cas.faults)
			start := ben.clk.Now()
			cas.check(ben.chat("a1", "r2", "second", 0))
			Expect(ben.clk.Since(start)).To(BeNumerically(">=", cas.least))
			ben.faults(`{}`)
			rep := ben.chat("a1", "r3", "third", 0)
			Expect(rep.done).To(BeTrue())
			Expect(rep.text()).To(Equal(whole("third", 0)))
			Expect(rep.chunks[0].ID).To(Equal("r3"))
		})
	}

	It("steps nothing while a member is paused", func() {
		ben := newBench(Options{})
		ben.load("g", 5, "a1", "a2")
		out := ben.later("r1", "hello")
		Expect(ben.clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
		ben.faults(`{"vms":{"a2":{"pause":true}}}`)
		ben.flow()
		Consistently(func() int { return ben.count("a1").Completed }).Should(BeZero())
		Expect(out).To(BeEmpty())
		ben.faults(`{"vms":{"a2":{}}}`)
		Expect((<-out).text()).To(Equal(whole("hello", 0)))
	})

	It("comes back empty, with a new start, after a kill", func() {
		ben := newBench(Options{})
		ben.load("g", 5, "a1", "a2")
		before := ben.engine("a2").started
		ben.faults(`{"vms":{"a2":{"kill":true}}}`)
		_, err := http.Get(ben.url("a2") + "/v1/status")
		Expect(err).To(HaveOccurred())
		ben.faults(`{}`)
		rsp, err := http.Get(ben.url("a2") + "/v1/status")
		Expect(err).NotTo(HaveOccurred())
		Expect(rsp.Body.Close()).To(Succeed())
		Expect(ben.state("a2")).To(Equal(stateEmpty))
		Expect(ben.engine("a2").started).NotTo(Equal(before))
	})

	cancels := []struct {
		name   string
		id     string
		status int
	}{
		{"cancels a request", "r1", 200},
		{"knows no other request", "r2", 404},
	}
	for _, cas := range cancels {
		It(cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			out := ben.later("r1", "hello")
			Expect(ben.clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			req, err := http.NewRequest(http.MethodDelete, ben.url("a1")+"/v1/requests/"+cas.id, nil)
			Expect(err).NotTo(HaveOccurred())
			rsp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(rsp.Body.Close()).To(Succeed())
			Expect(rsp.StatusCode).To(Equal(cas.status))
			ben.flow()
			Expect((<-out).broken).To(Equal(cas.status == 200))
		})
	}

	stages := []struct {
		name   string
		staged string
		leases int64
	}{
		{"transfers staged weights once", "1", 10},
		{"transfers another version again", "2", 20},
	}
	for _, cas := range stages {
		It(cas.name, func() {
			store := httptest.NewUnstartedServer(nil)
			ben := newBench(Options{WeightStore: store.Listener.Addr().String()})
			keeper := weightkeeper.New(weightkeeper.Options{Clock: ben.clk, GigabytesPerSecond: 1}).Handler()
			var leased int64
			store.Config.Handler = http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
				if req.Method == http.MethodPost {
					leased += 10
				}
				keeper.ServeHTTP(wtr, req)
			})
			store.Start()
			DeferCleanup(store.Close)
			ben.flow()
			start := ben.clk.Now()
			Expect(ben.order("a1", order{Order: orderStage, Model: "m", Version: cas.staged, WeightsGigabytes: 10})).To(Equal(200))
			Eventually(func() bool { return ben.engine("a1").holds("m@" + cas.staged) }).Should(BeTrue())
			Expect(ben.state("a1")).To(Equal(stateEmpty))
			ord := order{
				Order: orderLoad, Group: "g", Fence: 5, Model: "m", Version: "1", WeightsGigabytes: 10, Members: []member{{VM: "a1"}},
			}
			Expect(ben.order("a1", ord)).To(Equal(200))
			Eventually(func() string { return ben.state("a1") }).Should(Equal(stateReady))
			Expect(leased).To(Equal(cas.leases))
			Expect(ben.clk.Since(start)).To(BeNumerically(">=", time.Duration(cas.leases)*time.Second))
		})
	}
})
