//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const extraCallers = 40

var _ = Describe("A cold backend server", func() {
	It("is not overloaded when home entries fail", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.load(rng, tly, extraCallers, (*caller).complete)
		soak(dep, rng, tly, led, entryFaults, []faultGenerator{killEngine, killService, logDown})
		stop()
		dep.expectNoOverload()
		Expect(tly.violations).To(BeEmpty())
	})

	It("is not overloaded when it turns cold under load", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.load(rng, tly, extraCallers, (*caller).complete)
		soak(dep, rng, tly, led, []faultGenerator{coldEngine, coldService, killEntry, pauseEntry})
		stop()
		dep.expectNoOverload()
		Expect(tly.violations).To(BeEmpty())
	})
})
