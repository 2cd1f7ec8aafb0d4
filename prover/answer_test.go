//go:build soak

package prover

import (
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const spoilEvery = 250 * time.Millisecond

var _ = Describe("A caller", func() {
	It("gets its own whole answer", func() {
		rng, tly, led := newRandom(), newTally(), newLedger()
		dep := newDeployment(options{})
		stop := dep.spoil(rand.New(rand.NewPCG(rng.Uint64(), 4)), tly)
		soak(dep, rng, tly, led, entryFaults, engineFaults)
		stop()
		tly.print("answers")
		Expect(tly.count("spoilt")).NotTo(BeZero())
		Expect(tly.violations).To(BeEmpty())
	})
})

// spoil breaks answers of the engines, one after the other, until it is stopped.
func (dep *deployment) spoil(rng *rand.Rand, tly *tally) (stop func()) {
	done := make(chan struct{})
	var grp sync.WaitGroup
	grp.Go(func() {
		defer GinkgoRecover()
		for {
			select {
			case <-done:
				return
			case <-time.After(spoilEvery):
				flt := answerFaults[rng.IntN(len(answerFaults))](dep, rng)
				flt.begin()
				tly.add("spoilt")
			}
		}
	})
	return func() {
		close(done)
		grp.Wait()
	}
}
