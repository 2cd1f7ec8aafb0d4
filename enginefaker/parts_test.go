package enginefaker

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Engine internals", func() {
	audits := []struct {
		name    string
		state   string
		group   string
		fence   int64
		vm      string
		missing bool
	}{
		{"a ready member", stateReady, "g", 5, "a2", false},
		{"a loading member", stateLoading, "g", 5, "a2", true},
		{"a member of another group", stateReady, "h", 5, "a2", true},
		{"a member of another fence", stateReady, "g", 6, "a2", true},
		{"a member of another process", stateReady, "g", 5, "b1", false},
	}
	for _, cas := range audits {
		It("audits "+cas.name, func() {
			aud := auditor{}
			aud.record("a1", order{Group: "g", Fence: 5}, stateReady)
			aud.record("a2", order{Group: cas.group, Fence: cas.fence}, cas.state)
			ord := order{Group: "g", Fence: 5, Members: []member{{VM: "a1"}, {VM: cas.vm}}}
			Expect(aud.memberMissing(ord)).To(Equal(cas.missing))
		})
	}

	It("counts a step that was run while a member was not ready", func() {
		eng := newBench(Options{}).engine("a1")
		eng.emitTokens(order{Group: "g", Fence: 5, Members: []member{{VM: "a1"}, {VM: "a2"}}})
		Expect(eng.cnt.ServedWithMemberMissing).To(Equal(1))
	})

	steps := []struct {
		name    string
		running int
		prefill int
		members []member
		slow    float64
		span    time.Duration
	}{
		{"one request", 1, 0, []member{{VM: "a1"}}, 0, 4200 * time.Microsecond},
		{"ten requests", 10, 0, []member{{VM: "a1"}}, 0, 6 * time.Millisecond},
		{"a prompt", 1, 100, []member{{VM: "a1"}}, 0, 6200 * time.Microsecond},
		{"a slow member", 1, 0, []member{{VM: "a1"}, {VM: "a2"}}, 3, 12600 * time.Microsecond},
		{"two fabric domains", 1, 0, []member{{VM: "a1"}, {VM: "b1"}}, 0, 42 * time.Millisecond},
	}
	for _, cas := range steps {
		It("times a step with "+cas.name, func() {
			ben := newBench(Options{})
			eng := ben.engine("a1")
			eng.ord.Members = cas.members
			eng.running = make([]*job, cas.running)
			ben.engine("a2").flt.SlowFactor = cas.slow
			Expect(eng.stepDuration(cas.prefill)).To(Equal(cas.span))
			eng.running = nil
		})
	}

	It("keeps its requests when a step of an earlier order finishes", func() {
		eng := newBench(Options{}).engine("a1")
		eng.running = []*job{{}}
		old := stepPlan{generation: eng.generation - 1, ord: order{Group: "old", Members: []member{{VM: "a2"}}}}
		Expect(eng.finishStep(old, 1, nil)).To(BeFalse())
		Expect(eng.running).To(HaveLen(1))
		eng.running = nil
	})

	It("splits the prefill of long prompts over several steps", func() {
		eng := newBench(Options{}).engine("a1")
		one, two := &job{prefill: 500}, &job{prefill: 100}
		eng.running = []*job{one, two}
		Expect(eng.assignPrefill()).To(Equal(prefillTokensPerStep))
		Expect(two.stepPrefill).To(Equal(12))
		eng.running = nil
	})

	It("orders its queue by priority, then by arrival", func() {
		eng := &engine{}
		for _, jb := range []*job{{id: "a"}, {id: "b", priority: 2}, {id: "c"}, {id: "d", priority: 2}, {id: "e", priority: -1}} {
			eng.enqueue(jb)
		}
		ids := ""
		for _, jb := range eng.queue {
			ids += jb.id
		}
		Expect(ids).To(Equal("bdace"))
	})

	uses := []struct {
		name   string
		keys   []string
		tokens int
		cached int
		kinds  []string
	}{
		{"a new prefix", []string{"a"}, 10, 0, []string{eventStored}},
		{"a known prefix", []string{"a", "b", "a"}, 10, 10, nil},
		{"a prefix that was evicted", []string{"a", "b", "c", "a"}, 10, 0, []string{eventStored, eventEvicted}},
		{"a recently used prefix", []string{"a", "b", "a", "c", "a"}, 10, 10, nil},
		{"a prompt larger than the cache", []string{"a"}, 50, 0, []string{eventStored}},
	}
	for _, cas := range uses {
		It("caches "+cas.name, func() {
			cac := &cache{limit: 25}
			var cached int
			var evs []event
			for _, key := range cas.keys {
				cached, evs = cac.use(key, cas.tokens)
			}
			var kinds []string
			for _, evt := range evs {
				kinds = append(kinds, evt.Kind)
			}
			Expect(cached).To(Equal(cas.cached))
			Expect(kinds).To(Equal(cas.kinds))
		})
	}

	It("derives its answers from the messages alone", func() {
		Expect(AnswerTokens(messages("a"), 0)).To(Equal(AnswerTokens(messages("a"), 0)))
		Expect(AnswerTokens(messages("a"), 0)).NotTo(Equal(AnswerTokens(messages("b"), 0)))
		Expect(AnswerTokens(messages("a"), 3)).To(Equal(AnswerTokens(messages("a"), 0)[:3]))
	})

	It("reports its load and its events after the lag", func() {
		ben := newBench(Options{ReportLag: time.Second})
		eng := ben.engine("a1")
		eng.running = []*job{{}}
		eng.recordReport()
		for range 100 {
			eng.publish([]event{{Kind: eventStored}})
		}
		ben.clk.Advance(time.Second - time.Nanosecond)
		Expect(eng.laggedReport().Running).To(Equal(0))
		Expect(eng.eventsFrom(1).Events).To(BeEmpty())
		ben.clk.Advance(time.Nanosecond)
		Expect(eng.laggedReport().Running).To(Equal(1))
		Expect(len(eng.eventsFrom(1).Events)).To(And(BeNumerically(">", 80), BeNumerically("<", 100)))
		eng.running = nil
	})
})
