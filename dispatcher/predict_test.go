package dispatcher_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/router"
)

func predictedUnit(id string, memory int) dispatcher.Unit {
	eng := passEngine
	eng.MemoryTokens = memory
	est, err := estimator.New(eng, router.Model{Name: "m", TimeFactor: 1})
	Expect(err).NotTo(HaveOccurred())
	uni := unit(id, "z", eng.Slots)
	uni.Estimator = est
	return uni
}

func (fix *fixture) prompt(id string, tokens int) dispatcher.Request {
	req := fix.request(id)
	req.Size, req.MemoryTokens = estimator.Request{PromptTokens: tokens, AnswerTokens: 100}, tokens+100
	req.FirstEventWithin, req.Objective = 300*time.Millisecond, fix.clk.Now().Add(300*time.Millisecond)
	return req
}

var _ = Describe("Dispatcher of units with an estimator", func() {
	It("prefers a unit with less to read over one with more free slots", func() {
		fix := newFixture(predictedUnit("a", 0), predictedUnit("b", 0))
		fix.dis.SetRemoteLoad("other", map[string]estimator.Work{"a": {Requests: 1, Unread: 20000}, "b": {Requests: 20, Unread: 10}})
		Expect((<-fix.acquireAsync(fix.prompt("1", 1400))).Unit.ID).To(Equal("b"))
	})

	It("counts a prompt as unread until the first event and memory until the release", func() {
		fix := newFixture(predictedUnit("a", 0))
		pla := <-fix.acquireAsync(fix.prompt("1", 1400))
		Expect(fix.dis.Running()["a"]).To(Equal(estimator.Work{Requests: 1, Unread: 1400, Committed: 1500}))
		pla.FirstEvent()
		pla.FirstEvent()
		Expect(fix.dis.Running()["a"]).To(Equal(estimator.Work{Requests: 1, Committed: 1500}))
		pla.Release(dispatcher.Outcome{Result: dispatcher.Served})
		pla.FirstEvent()
		Expect(fix.dis.Running()).To(BeEmpty())
	})

	It("sends less to a unit that turns five times slower, and as much after its restart", func() {
		fix := newFixture(predictedUnit("a", 0))
		for range 60 {
			pla := <-fix.acquireAsync(fix.prompt("1", 1400))
			fix.clk.Advance(5 * pla.Predicted())
			pla.FirstEvent()
			pla.Release(dispatcher.Outcome{Result: dispatcher.Served})
		}
		Expect(fix.dis.Corrections()[pool]).To(BeNumerically(">", 1.5))
		fix.dis.SetUnits([]dispatcher.Unit{predictedUnit("a", 0), predictedUnit("b", 0)})
		for range 5 {
			Expect((<-fix.acquireAsync(fix.prompt("1", 1400))).Unit.ID).To(Equal("b"))
		}
		fix.dis.SetUnits([]dispatcher.Unit{predictedUnit("c", 0)})
		Expect(fix.dis.Corrections()[pool]).To(Equal(1.0))
	})

	It("holds a request that is late anyway until a usual one behind it is in time, and no longer than allowed", func() {
		fix := newFixture(predictedUnit("a", 0))
		fix.dis.SetRemoteLoad("other", map[string]estimator.Work{"a": {Requests: 10, Unread: 20000}})
		req := fix.prompt("1", 1400)
		req.HoldUntil = fix.clk.Now().Add(600 * time.Millisecond)
		held := fix.acquireAsync(req)
		Eventually(fix.waiting).Should(Equal(1))
		fix.clk.Advance(599 * time.Millisecond)
		fix.dis.DispatchWaiting()
		Expect(fix.waiting()).To(Equal(1))
		fix.clk.Advance(time.Millisecond)
		fix.dis.DispatchWaiting()
		Eventually(held).Should(Receive())
		req = fix.prompt("2", 1400)
		req.HoldUntil = fix.clk.Now().Add(time.Second)
		held = fix.acquireAsync(req)
		Eventually(fix.waiting).Should(Equal(1))
		fix.dis.SetRemoteLoad("other", map[string]estimator.Work{"a": {Requests: 10, Unread: 100}})
		Eventually(held).Should(Receive())
	})

	It("refuses at once what no unit answers before the deadline", func() {
		fix := newFixture(predictedUnit("a", 0))
		fix.dis.SetRemoteLoad("other", map[string]estimator.Work{"a": {Requests: 10, Unread: 200000}})
		req := fix.prompt("1", 1400)
		req.Deadline = fix.clk.Now().Add(time.Second)
		_, err := fix.dis.Acquire(context.Background(), req)
		Expect(err).To(MatchError(ContainSubstring("no unit sends an event before the deadline")))
	})

	It("commits at most the memory of a unit less the reserve for what other entries send unseen", func() {
		fix := newFixture(predictedUnit("a", 100000))
		fix.dis.SetEntries(7, 0)
		fix.dis.SetLoadAge(200 * time.Millisecond)
		granted := 0
		for range 200 {
			req := fix.prompt("1", 1900)
			req.StartBy = fix.clk.Now()
			if pla, err := fix.dis.Acquire(context.Background(), req); err == nil {
				pla.FirstEvent()
				granted++
			}
			fix.clk.Advance(50 * time.Millisecond)
		}
		Expect(granted).To(Equal(37))
	})
})
