//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A call that may not be repeated", func() {
	It("runs at most once and not_run is true", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		led.anywhere = true
		dep := newDeployment(options{})
		soak(dep, rng, tly, led, entryFaults, logFaults, serviceFaults, serviceFaults)
		led.check(dep.services().Runs, tly)
		tly.print("once")
		Expect(tly.violations).To(BeEmpty())
	})
})
