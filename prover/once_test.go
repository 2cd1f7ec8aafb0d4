//go:build soak

package prover

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var readingsOfNotRun = []struct {
	name  string
	ofKey bool
}{
	{"runs at most once, and not at all by a send that is told not_run", false},
	{"is told not_run only if no earlier send of its key has run", true},
}

var _ = Describe("A call that may not be repeated", func() {
	for _, cas := range readingsOfNotRun {
		It(cas.name, func() {
			rng, tly, led := newRandom(), newTally(), newLedger()
			led.anywhere = true
			dep := newDeployment(options{})
			soak(dep, rng, tly, led, entryFaults, logFaults, serviceFaults, serviceFaults)
			led.check(dep.services().Runs, tly, cas.ofKey)
			tly.print("once")
			Expect(tly.violations).To(BeEmpty())
		})
	}
})
