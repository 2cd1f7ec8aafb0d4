package keeper_test

import (
	"context"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/freshnesschecker"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/reducer"
)

type noFacts struct{}

func (noFacts) Set(string, []byte)                {}
func (noFacts) Get(string, string) ([]byte, bool) { return nil, false }
func (noFacts) All(string) []gossiper.Fact        { return nil }

var _ = Describe("A new home", func() {
	cases := []struct {
		name   string
		answer keeper.YieldAnswer
		err    error
		after  time.Duration
		state  admitter.State
	}{
		{"may use the whole limit when the former home yields", keeper.YieldAnswer{Yielded: true}, nil, 0, admitter.Serving},
		{"may use the whole limit when no process listens on the address of the former home", keeper.YieldAnswer{}, errors.Annotate(syscall.ECONNREFUSED, "dial"), 0, admitter.Serving},
		{"waits for a former home that does not answer", keeper.YieldAnswer{}, errors.Timeoutf("call"), 8 * time.Second, admitter.NotHome},
		{"admits its half of the limit when the former home still does not answer after TakeoverAfter", keeper.YieldAnswer{}, errors.Timeoutf("call"), 10 * time.Second, admitter.UncertainSuccessor},
		{"waits for a former home that has not applied the move", keeper.YieldAnswer{}, nil, 0, admitter.NotHome},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			clk := clockwork.NewFakeClock()
			vie := reducer.NewState().View()
			vie.Catalog = catalog()
			vie.Homes = map[string]reducer.Home{"east-0": {Incarnation: "own", SinceOffset: 5, Former: []string{"old"}}}
			vie.Departed = map[string]reducer.Departed{"old": {Name: "e", RPCAddress: "there", Evicted: true}}
			var calls []func()
			adm := admitter.New(admitter.Options{Incarnation: "own", Clock: clk})
			kee := keeper.New(keeper.Options{
				View: func() *reducer.View { return vie }, Changed: func() <-chan struct{} { return nil }, Self: func() string { return "own" },
				Freshness: func() freshnesschecker.Freshness {
					return freshnesschecker.Freshness{Fresh: true, CertainOfHomes: true, MayPublish: true}
				},
				Stager: stager{pro: prober.New(prober.Options{})}, Facts: noFacts{}, Admitter: adm, Clock: clk, Logger: logrus.New(),
				Interval: time.Second, TakeoverAfter: 9 * time.Second, Spawn: func(call func()) { calls = append(calls, call) },
				Yield: func(context.Context, string, keeper.YieldRequest) (keeper.YieldAnswer, error) {
					return cas.answer, cas.err
				},
			})
			kee.UpdateUnits(context.Background())
			for _, call := range calls {
				call()
			}
			clk.Advance(cas.after)
			kee.UpdateUnits(context.Background())
			sta, known := adm.Status("east-0")
			Expect(known).To(BeTrue())
			Expect(sta.State).To(Equal(cas.state))
		})
	}
})
