//go:build soak

package prover

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	maxDatagramDelay = 4 * time.Second
	// largeConfigKeys is how many keys make a configuration so large that entries compress it for each other.
	largeConfigKeys = 1000
)

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

	It("apply a configuration that has the offset of one that the store lost", func() {
		rng := newRandom()
		gts := newGates(rng)
		for num := range largeConfigKeys {
			gts.cfg.Workspaces[0].Keys = append(gts.cfg.Workspaces[0].Keys, fmt.Sprintf("further-%d", num))
		}
		for range 3 {
			published := time.Now()
			gts.expectInForce(rng, gts.addRoute())
			gts.sto.Restore(time.Since(published))
			time.Sleep(randomDuration(rng, 0, time.Second))
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
