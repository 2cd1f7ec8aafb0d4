//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A caller", func() {
	It("gets its own whole answer", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		soak(dep, rng, tly, led, entryFaults, engineFaults, answerFaults, answerFaults)
		Expect(tly.violations).To(BeEmpty())
	})
})
