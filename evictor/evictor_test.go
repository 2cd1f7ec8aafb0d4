package evictor

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestEvictor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evictor")
}

// testPeers simulates six entries, of which this one is i0 and watches i1.
type testPeers struct {
	clk        *clockwork.FakeClock
	view       reducer.View
	mayPublish bool
	heard      time.Time
	reaches    map[string]bool
	asked      []string
	evicted    []string
}

func newTestPeers() *testPeers {
	tps := &testPeers{clk: clockwork.NewFakeClock(), mayPublish: true, reaches: map[string]bool{}, view: reducer.View{Members: map[string]reducer.Member{}}}
	for _, inc := range []string{"i0", "i1", "i2", "i3", "i4", "i5"} {
		tps.view.Members[inc] = reducer.Member{Member: recorder.Member{Incarnation: inc}}
	}
	return tps
}

func (tps *testPeers) Self() string               { return "i0" }
func (tps *testPeers) PullPeers() []string        { return []string{"i1"} }
func (tps *testPeers) LastHeard(string) time.Time { return tps.heard }

func (tps *testPeers) Reaches(_ context.Context, witness, _ reducer.Member) bool {
	tps.asked = append(tps.asked, witness.Incarnation)
	return tps.reaches[witness.Incarnation]
}

func (tps *testPeers) Append(_ context.Context, rec recorder.Record) (follower.Verdict, error) {
	var dep recorder.Departure
	Expect(json.Unmarshal(rec.Body, &dep)).To(Succeed())
	tps.evicted = append(tps.evicted, dep.Incarnation)
	return follower.Verdict{}, nil
}

var _ = Describe("a silent peer", func() {
	cases := []struct {
		name    string
		change  func(tps *testPeers)
		asked   int
		evicted int
	}{
		{"is evicted when no witness reaches it", func(*testPeers) {}, 3, 1},
		{"is not evicted when a witness reaches it", func(tps *testPeers) { tps.reaches["i3"] = true }, 2, 0},
		{"is not evicted by an entry that is itself cut off", func(tps *testPeers) { tps.mayPublish = false }, 0, 0},
		{"is not evicted when it is no longer a member", func(tps *testPeers) { delete(tps.view.Members, "i1") }, 0, 0},
		{"is not suspected while it is heard from", func(tps *testPeers) { tps.heard = tps.clk.Now() }, 0, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			tps := newTestPeers()
			evi := tps.newEvictor()
			evi.Check(context.Background())
			Expect(tps.asked).To(BeEmpty(), "suspected at the first check")
			tps.clk.Advance(4 * time.Second)
			cas.change(tps)
			evi.Check(context.Background())
			Expect(tps.asked).To(HaveLen(cas.asked))
			Expect(tps.evicted).To(HaveLen(cas.evicted))
		})
	}

	It("gets the full suspicion timeout again after this entry was cut off", func() {
		tps := newTestPeers()
		evi := tps.newEvictor()
		for _, may := range []bool{true, false, true} {
			tps.mayPublish = may
			evi.Check(context.Background())
			tps.clk.Advance(2 * time.Second)
		}
		evi.Check(context.Background())
		Expect(tps.evicted).To(BeEmpty())
		tps.clk.Advance(2 * time.Second)
		evi.Check(context.Background())
		Expect(tps.evicted).To(Equal([]string{"i1"}))
	})
})

func (tps *testPeers) newEvictor() *Evictor {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(Options{
		View:      func() *reducer.View { return &tps.view },
		Freshness: func() freshnesschecker.Freshness { return freshnesschecker.Freshness{MayPublish: tps.mayPublish} },
		Peers:     tps, Witness: tps, Appender: tps, Clock: tps.clk, Logger: quiet, SuspectAfter: 3 * time.Second,
	})
}
