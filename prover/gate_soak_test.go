//go:build soak

package prover

import (
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/platform/callerfaker"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// recoverWithin is how long after the last fault most calls are served again; the sheets allow 12 s.
	recoverWithin = 12 * time.Second
	recoverLook   = 3 * time.Second
	// recoverShare is the share that is served then; the rules ask for a quarter.
	recoverShare = 0.9
	// evacuateWithin is how long a zone that is out may still get work.
	evacuateWithin = 5 * time.Second
)

func listens(address string) bool {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = con.Close()
	return true
}

var _ = Describe("Entries on a platform", func() {
	It("keep every promise while anything breaks", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop := gts.load(rng)
		disturb(gts, rng, soakFor(), gateFaults)
		time.Sleep(recoverWithin)
		since := time.Now()
		time.Sleep(recoverLook)
		stop()
		gts.expectPromises()
		Expect(gts.servedSince(since)).To(BeNumerically(">=", recoverShare))
		Expect(gts.wor.OpenGroups()).To(And(HaveKey("large"), HaveKey("small")))
	})

	It("cut no request while all are replaced and settings are read anew", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop := gts.load(rng)
		time.Sleep(time.Second)
		for _, idx := range rng.Perm(gateCount) {
			num := idx + 1
			gts.gate(1 + rng.IntN(gateCount)).signal(syscall.SIGHUP)
			Expect(gts.gate(num).terminate(gateGrace)).To(BeTrue(), "gate-%d ends in time and with success", num)
			gts.startGate(num)
			gts.awaitReady(num)
			gts.addRoute()
			time.Sleep(between(rng, time.Second, 3*time.Second))
		}
		stop()
		gts.expectPromises()
		Expect(gts.cut()).To(BeEmpty())
	})

	It("give no new work to leaving servers and to a zone that is out", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop := gts.load(rng)
		time.Sleep(time.Second)
		zone := rng.IntN(gateZones)
		for _, num := range []int{0, enginesEach} {
			gts.wor.Drain(workerID((zone+1)%gateZones, num))
		}
		gts.ope.TakeOut(gateZone(zone))
		out := time.Now()
		time.Sleep(evacuateWithin + 3*time.Second)
		Expect(gts.wor.LastWork(gateZone(zone)).Sub(out)).To(BeNumerically("<", evacuateWithin))
		Expect(gts.servedSince(time.Now().Add(-3 * time.Second))).To(BeNumerically(">=", recoverShare))
		gts.ope.TakeBack(gateZone(zone))
		Eventually(func() bool { return gts.wor.LastWork(gateZone(zone)).After(out.Add(evacuateWithin)) }, recoverWithin, 100*time.Millisecond).Should(BeTrue())
		stop()
		gts.expectPromises()
	})

	It("take every configuration within seconds, and none back", func() {
		rng := newRandom()
		gts := newGates(rng)
		for range 6 {
			path := gts.addRoute()
			time.Sleep(configWithin)
			began := time.Now()
			for time.Since(began) < time.Second {
				for num := 1; num <= gateCount; num++ {
					Expect(gts.probe(rng, num, path)).NotTo(Equal(http.StatusNotFound), "gate-%d, path %s, %v after the version", num, path, configWithin+time.Since(began))
				}
				time.Sleep(100 * time.Millisecond)
			}
			gts.sto.Forget()
		}
	})
})

// probe calls one entry on a path and returns the status.
func (gts *gates) probe(rng *rand.Rand, num int, path string) int {
	cal := callerfaker.New(callerfaker.Options{Name: newUUID(), Entry: gateIP(num) + ":8000", Host: gateHost, Key: gateKey, Random: rng})
	out := cal.Do(GinkgoT().Context(), callerfaker.Call{Kind: router.Unsafe, Path: path, Body: "x", Within: time.Second})
	return out[len(out)-1].Status
}

// cut returns the sends whose connection ended without a whole answer.
func (gts *gates) cut() []gateSend {
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	var out []gateSend
	for _, snd := range gts.sends {
		if snd.Status == 0 && !snd.Unreached {
			out = append(out, snd)
		}
	}
	return out
}
