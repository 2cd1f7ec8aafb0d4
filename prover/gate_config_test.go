//go:build soak

package prover

import (
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const maxDatagramDelay = 4 * time.Second

var _ = Describe("Entries that get configurations from others", func() {
	It("apply every configuration in time though datagrams between entries are late", func() {
		rng := newRandom()
		gts := newGates(rng)
		gts.ntw.setDatagramDelay(randomDuration(rng, maxConfigDelay+500*time.Millisecond, maxDatagramDelay))
		time.Sleep(maxDatagramDelay)
		for range 4 {
			gts.expectInForce(rng, gts.addRoute())
		}
	})
})

// expectInForce expects that a route just published is known to every entry in time, and stays so.
func (gts *gates) expectInForce(rng *rand.Rand, path string) {
	time.Sleep(maxConfigDelay)
	began := time.Now()
	for time.Since(began) < time.Second {
		for num := 1; num <= gateCount; num++ {
			Expect(gts.probe(rng, num, path)).NotTo(Equal(http.StatusNotFound), "gate-%d, path %s, %v after publication", num, path, maxConfigDelay+time.Since(began))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
