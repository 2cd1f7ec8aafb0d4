package gateserver

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/gateconfigurer"
	"github.com/lovagelever/lovagelever/heartbeater"
)

var _ = Describe("Forecast of the demand", func() {
	// Guards against a new leader that plans by the part of the demand that it has heard of.
	for _, entries := range []int{7, 23, 61, 195, 390} {
		It(fmt.Sprintf("is the sum over %d entries once most of them have stated theirs, and falls back when they are silent", entries), func() {
			clk := clockwork.NewFakeClock()
			gat := &Server{clk: clk, frc: forecaster.New(clk), set: gateconfigurer.Settings{Name: "e0", Zone: "z0"}}
			gat.adv = advertiser.New("e0", func(string) bool { return true }, func() bool { return true })
			for num := range entries {
				gat.adv.Put(advertiser.Entry{Name: fmt.Sprint("e", num), Zone: fmt.Sprint("z", num%3)})
			}
			gat.peerCount.Store(int64(entries - 1))
			pool := forecaster.Pool{Service: "s", Model: "m"}
			gat.frc.Record(pool, estimator.Request{PromptTokens: 100})
			_, known := gat.forecast("s", "m")
			Expect(known).To(BeFalse())
			state := func(num int) {
				gat.onDemand(fmt.Sprint("e", num), []heartbeater.Demand{{Pool: hash("s/m"), Demand: estimator.Demand{Requests: 1, PromptTokens: 100}}})
			}
			for num := 1; num < entries/2; num++ {
				state(num)
			}
			_, known = gat.forecast("s", "m")
			Expect(known).To(BeFalse())
			for num := 1; num < entries; num++ {
				state(num)
			}
			fco, known := gat.forecast("s", "m")
			Expect(known).To(BeTrue())
			Expect(fco.Recent.PromptTokens).To(BeNumerically("~", 100*entries, 1))
			Expect(fco.ZoneShares["z1"]).To(BeNumerically("~", 1.0/3, 0.2/3))
			clk.Advance(time.Minute)
			_, known = gat.forecast("s", "m")
			Expect(known).To(BeFalse())
		})
	}
})
