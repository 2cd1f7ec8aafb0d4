//go:build soak

package prover

import (
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const answerFaultInterval = 250 * time.Millisecond

var _ = Describe("A caller", func() {
	It("gets the complete answer to its own request", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.injectAnswerFaults(rand.New(rand.NewPCG(rng.Uint64(), 4)), tly)
		soak(dep, rng, tly, led, entryFaults, engineFaults)
		stop()
		tly.print("answers")
		Expect(tly.count("answer faults")).NotTo(BeZero())
		Expect(tly.violations).To(BeEmpty())
	})
})

// injectAnswerFaults makes engines delay, swap, truncate or repeat parts of their answers, one fault at a time, until stop is called.
func (dep *deployment) injectAnswerFaults(rng *rand.Rand, tly *tally) (stop func()) {
	done := make(chan struct{})
	var grp sync.WaitGroup
	grp.Go(func() {
		defer GinkgoRecover()
		for {
			select {
			case <-done:
				return
			case <-time.After(answerFaultInterval):
				flt := answerFaults[rng.IntN(len(answerFaults))](dep, rng)
				flt.begin()
				tly.add("answer faults")
			}
		}
	})
	return func() {
		close(done)
		grp.Wait()
	}
}
