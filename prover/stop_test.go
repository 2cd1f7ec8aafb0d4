//go:build soak

package prover

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A planned stop", func() {
	It("interrupts no request while all entries are replaced", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stopCompletions := dep.load(rng, tly, completionCallers, (*caller).complete)
		stopCalls := dep.load(rng, tly, reservationCallers, func(cal *caller) { cal.reserve(led) })
		stopFetches := dep.load(rng, tly, fetchCallers, (*caller).fetch)
		for _, idx := range rng.Perm(entryCount) {
			num := idx + 1
			begun := time.Now()
			Expect(dep.entry(num).terminate(stopTimeout)).To(BeTrue(), "%s exits in time with status 0", entryName(num))
			report("%s stopped in %s", entryName(num), time.Since(begun).Round(time.Millisecond))
			dep.startEntry(num)
			Eventually(func() bool { return healthy(dep.cli, entryAddress(num)) }, startTimeout, 100*time.Millisecond).Should(BeTrue())
			time.Sleep(randomDuration(rng, 0, time.Second))
		}
		stopCompletions()
		stopCalls()
		stopFetches()
		led.check(dep.fetchServiceCounts().Runs, tly, true)
		tly.print("planned stop")
		Expect(tly.violations).To(BeEmpty())
		for _, what := range []string{"completion", "reservation", "fetch"} {
			Expect(tly.count(what+" attempt "+stateBroken)).To(BeZero(), what)
			Expect(tly.count(what+" attempt "+stateUnsent)).To(BeZero(), what)
			Expect(tly.count(what+" attempt "+stateUnknown)).To(BeZero(), what)
		}
		dep.expectNoPartialGroup()
		dep.expectNoOverload()
	})
})
