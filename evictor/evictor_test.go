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
	"github.com/lovagelever/lovagelever/freshener"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestEvictor(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evictor")
}

// site is five entries, of which this one is i0 and watches i1.
type site struct {
	clk     *clockwork.FakeClock
	view    reducer.View
	may     bool
	heard   time.Time
	reaches map[string]bool
	asked   []string
	evicted []string
}

func newSite() *site {
	sit := &site{clk: clockwork.NewFakeClock(), may: true, reaches: map[string]bool{}, view: reducer.View{Members: map[string]reducer.Member{}}}
	for _, inc := range []string{"i0", "i1", "i2", "i3", "i4", "i5"} {
		sit.view.Members[inc] = reducer.Member{Member: recorder.Member{Incarnation: inc}}
	}
	return sit
}

func (sit *site) Self() string           { return "i0" }
func (sit *site) Fingers() []string      { return []string{"i1"} }
func (sit *site) Heard(string) time.Time { return sit.heard }

func (sit *site) Reaches(_ context.Context, witness, _ reducer.Member) bool {
	sit.asked = append(sit.asked, witness.Incarnation)
	return sit.reaches[witness.Incarnation]
}

func (sit *site) Append(_ context.Context, rec recorder.Record) (follower.Judged, error) {
	var dep recorder.Departure
	Expect(json.Unmarshal(rec.Body, &dep)).To(Succeed())
	sit.evicted = append(sit.evicted, dep.Incarnation)
	return follower.Judged{}, nil
}

var _ = Describe("a silent peer", func() {
	cases := []struct {
		name    string
		change  func(sit *site)
		asked   int
		evicted int
	}{
		{"that no witness reaches is evicted", func(*site) {}, 3, 1},
		{"is not evicted when a witness reaches it", func(sit *site) { sit.reaches["i3"] = true }, 2, 0},
		{"is not evicted by an entry that is cut off itself", func(sit *site) { sit.may = false }, 0, 0},
		{"is not evicted once it is no member", func(sit *site) { delete(sit.view.Members, "i1") }, 0, 0},
		{"is not suspected while it is heard", func(sit *site) { sit.heard = sit.clk.Now() }, 0, 0},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			sit := newSite()
			evi := sit.evictor()
			evi.Check(context.Background())
			Expect(sit.asked).To(BeEmpty(), "suspected at first sight")
			sit.clk.Advance(4 * time.Second)
			cas.change(sit)
			evi.Check(context.Background())
			Expect(sit.asked).To(HaveLen(cas.asked))
			Expect(sit.evicted).To(HaveLen(cas.evicted))
		})
	}

	It("gets the whole time again after this entry was cut off", func() {
		sit := newSite()
		evi := sit.evictor()
		for _, may := range []bool{true, false, true} {
			sit.may = may
			evi.Check(context.Background())
			sit.clk.Advance(2 * time.Second)
		}
		evi.Check(context.Background())
		Expect(sit.evicted).To(BeEmpty())
		sit.clk.Advance(2 * time.Second)
		evi.Check(context.Background())
		Expect(sit.evicted).To(Equal([]string{"i1"}))
	})
})

func (sit *site) evictor() *Evictor {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return New(Options{
		View:     func() *reducer.View { return &sit.view },
		Standing: func() freshener.Standing { return freshener.Standing{MayPublish: sit.may} },
		Peers:    sit, Witness: sit, Appender: sit, Clock: sit.clk, Logger: quiet, SuspectAfter: 3 * time.Second,
	})
}
