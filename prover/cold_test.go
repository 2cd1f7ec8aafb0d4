//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const crowd = 40

var _ = Describe("A cold backend server", func() {
	It("never falls over when homes break", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.load(rng, tly, crowd, (*caller).complete)
		soak(dep, rng, tly, led, entryFaults, []maker{killEngine, killService, logDown})
		stop()
		dep.expectStanding()
		Expect(tly.violations).To(BeEmpty())
	})

	It("never falls over when it turns cold under load", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.load(rng, tly, crowd, (*caller).complete)
		soak(dep, rng, tly, led, []maker{coldEngine, coldService, killEntry, pauseEntry})
		stop()
		dep.expectStanding()
		Expect(tly.violations).To(BeEmpty())
	})
})
