//go:build soak

package prover

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A deployment", func() {
	It("serves without faults", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.load(rng, tly, 12, (*caller).complete)
		stopCalls := dep.load(rng, tly, 6, func(cal *caller) { cal.reserve(led) })
		stopFetch := dep.load(rng, tly, 4, (*caller).fetch)
		time.Sleep(soakDuration())
		stop()
		stopCalls()
		stopFetch()
		led.check(dep.fetchServiceCounts().Runs, tly, true)
		tly.print("control")
		dep.expectNoPartialGroup()
		dep.expectNoOverload()
		Expect(tly.violations).To(BeEmpty())
		Expect(tly.count("completion attempt broken") + tly.count("reservation attempt broken")).To(BeZero())
		Expect(tly.count("completion succeeded")).To(BeNumerically(">", 50))
	})
})
