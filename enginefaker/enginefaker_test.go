package enginefaker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/weightstorefaker"
)

var _ = Describe("Simulator", func() {
	answers := []struct {
		name   string
		vms    []string
		resume int
	}{
		{"in one fabric domain", []string{"a1", "a2"}, 0},
		{"across fabric domains", []string{"a1", "b1"}, 0},
		{"resumed from a token", []string{"a1", "a2"}, 5},
		{"resumed after its last token", []string{"a1", "a2"}, len(AnswerTokens(messages("hello"), 0))},
	}
	for _, cas := range answers {
		It("answers "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, cas.vms...)
			ben.advanceClock()
			rep := ben.chat("a1", "r1", "hello", cas.resume)
			Expect(rep.text()).To(Equal(answerText("hello", cas.resume)))
			Expect(rep.done).To(BeTrue())
			last := rep.chunks[len(rep.chunks)-1]
			Expect(rep.chunks[0].Index).To(Equal(cas.resume))
			Expect(rep.chunks).To(HaveLen(last.Index - cas.resume + 1))
			Expect(last.Usage.CompletionTokens).To(Equal(len(AnswerTokens(messages("hello"), 0))))
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
		{"a load without a group", "a1", order{Order: orderLoad, Fence: 9}, 400, stateReady},
	}
	for _, cas := range fences {
		It("handles "+cas.name, func() {
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
		inject func(*bench)
		status int
		reason string
	}{
		{"another fence", 6, []string{"a1", "a2"}, "a1", nil, 409, refusedFence},
		{"a member of rank 1", 5, []string{"a1", "a2"}, "a2", nil, 503, refusedNotReady},
		{"a lost member", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.faults(`{"vms":{"a2":{"kill":true}}}`) }, 503, refusedNotReady},
		{"a lost member of another domain", 5, []string{"a1", "b1"}, "a1", func(ben *bench) { ben.two.Close() }, 503, refusedNotReady},
		{"a member that took another order", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.load("h", 4, "a2") }, 503, refusedNotReady},
		{"an engine that restarted above its cold limit", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.engine("a1").restart(reasonFellOver) }, 503, refusedCold},
		{"a full queue", 5, []string{"a1", "a2"}, "a1", func(ben *bench) { ben.engine("a1").queue = make([]*job, 256) }, 503, refusedOverloaded},
	}
	for _, cas := range refusals {
		It("refuses a request to "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", cas.fence, cas.vms...)
			if cas.inject != nil {
				cas.inject(ben)
			}
			Expect(ben.chat(cas.ask, "r1", "hello", 0).status).To(Equal(cas.status))
			Expect(ben.count(cas.ask).Refused).To(Equal(map[string]int{cas.reason: 1}))
			Expect(ben.count(cas.ask).Started).To(BeZero())
		})
	}

	breakCases := []struct {
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
		{"a cut source IP", []string{"a1", "a2"}, "hello", func(ben *bench) { ben.faults(`{"cut_sources":["127.0.0.1"]}`) },
			map[string]string{"a1": stateReady, "a2": stateReady}},
	}
	for _, cas := range breakCases {
		It("breaks a request on "+cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, cas.vms...)
			out := ben.chatAsync("r1", cas.text)
			Expect(ben.clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			cas.strike(ben)
			ben.advanceClock()
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

	coldCases := []struct {
		name     string
		warm     bool
		turnCold bool
		calls    int
		fellOver int
	}{
		{"serves all requests at its cold limit", false, false, 4, 0},
		{"restarts above its cold limit", false, false, 5, 1},
		{"serves all requests above its cold limit when warm", true, false, 6, 0},
		{"restarts above its cold limit after a turn_cold fault", true, true, 5, 1},
	}
	for _, cas := range coldCases {
		It(cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			if cas.warm {
				ben.makeWarm("a1")
			}
			if cas.turnCold {
				ben.faults(`{"vms":{"a1":{"turn_cold":true}}}`)
			}
			var outs []chan reply
			for idx := range cas.calls {
				outs = append(outs, ben.chatAsync("r", "hello"))
				Eventually(func() int { return ben.count("a1").Started }).Should(Equal(idx + 1))
			}
			ben.advanceClock()
			for _, out := range outs {
				Expect((<-out).broken).To(Equal(cas.fellOver > 0))
			}
			Expect(ben.count("a1").FellOver).To(Equal(cas.fellOver))
		})
	}

	It("refuses a request above the cold limit that the caller sent, and completes the running ones", func() {
		ben := newBench(Options{})
		ben.load("g", 5, "a1", "a2")
		ben.makeWarm("a1")
		var outs []chan reply
		for idx := range 6 {
			outs = append(outs, ben.chatAsync("r", "hello"))
			Eventually(func() int { return ben.count("a1").Started }).Should(Equal(idx + 1))
		}
		ben.faults(`{"vms":{"a1":{"turn_cold":true}}}`)
		Expect(ben.chatWithin(4, "a1", "late", "hello", 0).status).To(Equal(503))
		Expect(ben.count("a1").Refused).To(Equal(map[string]int{refusedCold: 1}))
		ben.advanceClock()
		for _, out := range outs {
			Expect((<-out).broken).To(BeFalse())
		}
		Expect(ben.count("a1").FellOver).To(BeZero())
	})

	streamFaultCases := []struct {
		name        string
		faults      string
		minDuration time.Duration
		check       func(rep reply)
	}{
		{"truncates the answer", `{"vms":{"a1":{"truncate":true}}}`, 0, func(rep reply) {
			Expect(rep.done).To(BeFalse())
			Expect(rep.chunks).To(HaveLen(1))
		}},
		{"sends a chunk twice", `{"vms":{"a1":{"repeat_chunk":true}}}`, 0, func(rep reply) {
			Expect(rep.done).To(BeTrue())
			Expect(rep.chunks[1]).To(Equal(rep.chunks[0]))
		}},
		{"sends the answer of another request", `{"vms":{"a1":{"cross_answers":true}}}`, 0, func(rep reply) {
			Expect(rep.chunks[0].ID).To(Equal("r1"))
			Expect(rep.text()).To(HavePrefix(answerText("first", 0)[:10]))
		}},
		{"delays the answer", `{"vms":{"a1":{"late_answer_ms":5000}}}`, 5 * time.Second, func(rep reply) {
			Expect(rep.text()).To(Equal(answerText("second", 0)))
		}},
		{"runs slow steps", `{"vms":{"a2":{"slow_factor":100}}}`, 6 * time.Second, func(rep reply) {
			Expect(rep.text()).To(Equal(answerText("second", 0)))
		}},
	}
	for _, cas := range streamFaultCases {
		It(cas.name+" in one stream only", func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			ben.advanceClock()
			Expect(ben.chat("a1", "r1", "first", 0).text()).To(Equal(answerText("first", 0)))
			ben.faults(cas.faults)
			start := ben.clk.Now()
			cas.check(ben.chat("a1", "r2", "second", 0))
			Expect(ben.clk.Since(start)).To(BeNumerically(">=", cas.minDuration))
			ben.faults(`{}`)
			rep := ben.chat("a1", "r3", "third", 0)
			Expect(rep.done).To(BeTrue())
			Expect(rep.text()).To(Equal(answerText("third", 0)))
			Expect(rep.chunks[0].ID).To(Equal("r3"))
		})
	}

	It("generates nothing while a member is paused", func() {
		ben := newBench(Options{})
		ben.load("g", 5, "a1", "a2")
		out := ben.chatAsync("r1", "hello")
		Expect(ben.clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
		ben.faults(`{"vms":{"a2":{"pause":true}}}`)
		ben.advanceClock()
		Consistently(func() int { return ben.count("a1").Completed }).Should(BeZero())
		Expect(out).To(BeEmpty())
		ben.faults(`{"vms":{"a2":{}}}`)
		Expect((<-out).text()).To(Equal(answerText("hello", 0)))
	})

	It("restarts empty with a new start ID after a kill", func() {
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
		{"answers 404 for an unknown request", "r2", 404},
	}
	for _, cas := range cancels {
		It(cas.name, func() {
			ben := newBench(Options{})
			ben.load("g", 5, "a1", "a2")
			out := ben.chatAsync("r1", "hello")
			Expect(ben.clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			req, err := http.NewRequest(http.MethodDelete, ben.url("a1")+"/v1/requests/"+cas.id, nil)
			Expect(err).NotTo(HaveOccurred())
			rsp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(rsp.Body.Close()).To(Succeed())
			Expect(rsp.StatusCode).To(Equal(cas.status))
			ben.advanceClock()
			Expect((<-out).broken).To(Equal(cas.status == 200))
		})
	}

	stages := []struct {
		name   string
		staged string
		leases int64
	}{
		{"loads staged weights without a second transfer", "1", 10},
		{"transfers the weights of a version that was not staged", "2", 20},
	}
	for _, cas := range stages {
		It(cas.name, func() {
			store := httptest.NewUnstartedServer(nil)
			ben := newBench(Options{WeightStore: store.Listener.Addr().String()})
			keeper := weightstorefaker.New(weightstorefaker.Options{Clock: ben.clk, GigabytesPerSecond: 1}).Handler()
			var leased int64
			store.Config.Handler = http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
				if req.Method == http.MethodPost {
					leased += 10
				}
				keeper.ServeHTTP(wtr, req)
			})
			store.Start()
			DeferCleanup(store.Close)
			ben.advanceClock()
			start := ben.clk.Now()
			Expect(ben.order("a1", order{Order: orderStage, Model: "m", Version: cas.staged, WeightsGigabytes: 10})).To(Equal(200))
			Eventually(func() bool { return ben.engine("a1").holdsWeights("m@" + cas.staged) }).Should(BeTrue())
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
