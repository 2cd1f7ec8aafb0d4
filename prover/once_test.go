//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var notRunGuarantees = []struct {
	name        string
	acrossSends bool
}{
	{"runs at most once, and not in an attempt that is answered not_run", false},
	{"is answered not_run only if no earlier attempt with its key has run", true},
}

var _ = Describe("A non-idempotent call", func() {
	for _, cas := range notRunGuarantees {
		It(cas.name, func() {
			rng, tly, led := newRandom(), newTally(), newLedger()
			led.anyEntry = true
			dep := newDeployment(options{})
			soak(dep, rng, tly, led, entryFaults, logFaults, serviceFaults, serviceFaults)
			led.check(dep.fetchServiceCounts().Runs, tly, cas.acrossSends)
			tly.print("non-idempotent calls")
			Expect(tly.violations).To(BeEmpty())
		})
	}
})
