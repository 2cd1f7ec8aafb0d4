//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A replica group", func() {
	It("never serves with a member missing", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		soak(dep, rng, tly, led, entryFaults, logFaults, engineFaults, engineFaults, engineFaults, engineFaults)
		dep.expectNoPartialGroup()
		Expect(tly.violations).To(BeEmpty())
	})
})
