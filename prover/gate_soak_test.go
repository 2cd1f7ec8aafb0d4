//go:build soak

package prover

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/platform/callerfaker"
	"github.com/lovagelever/lovagelever/platform/storefaker"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// recoveryLimit is the time after the last fault within which most calls succeed again; the requirements allow 12 s.
	recoveryLimit  = 12 * time.Second
	recoveryWindow = 3 * time.Second
	// minRecoveredShare is the share of calls that must succeed after recovery; the requirements ask for a quarter.
	minRecoveredShare = 0.9
	// maxSilenceEffect is how long after its connections went silent an entry may still be disturbed.
	maxSilenceEffect = 3 * time.Second
	// evacuationLimit is how long a zone may still receive work after it is taken out.
	evacuationLimit = 5 * time.Second
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
		injectFaults(gts, rng, soakDuration(), gateFaults)
		time.Sleep(recoveryLimit)
		since := time.Now()
		time.Sleep(recoveryWindow)
		stop()
		gts.expectGuarantees()
		Expect(gts.successShareSince(since)).To(BeNumerically(">=", minRecoveredShare))
		Expect(gts.wor.ServingGroups()).To(And(HaveKey("large"), HaveKey("small")))
	})

	It("interrupt no request while all are replaced and settings are reloaded", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop, stopLong := gts.load(rng), gts.longLoad(rng)
		time.Sleep(time.Second)
		var replaced sync.WaitGroup
		for _, idx := range rng.Perm(gateCount) {
			gts.reloadReady(rng)
			own := rand.New(rand.NewPCG(rng.Uint64(), 5))
			replaced.Go(func() {
				defer GinkgoRecover()
				gts.replace(own, idx+1)
			})
			time.Sleep(randomDuration(rng, 0, 2*time.Second))
			gts.addRoute()
			time.Sleep(randomDuration(rng, 2*time.Second, 4*time.Second))
		}
		replaced.Wait()
		stopLong()
		stop()
		interrupted := gts.interruptedSends()
		for _, snd := range interrupted {
			report("interrupted: %s %s at %s, %d runs, ended after %v", snd.kind, snd.ID, snd.Entry, gts.wor.Runs(snd.ID), snd.EndedAt.Sub(snd.StartedAt))
		}
		gts.expectGuarantees()
		Expect(interrupted).To(BeEmpty())
	})

	It("send no new work to draining servers or to a zone that is taken out", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop := gts.load(rng)
		time.Sleep(time.Second)
		zone := rng.IntN(gateZones)
		for _, num := range []int{0, enginesPerZone} {
			gts.wor.Drain(workerID((zone+1)%gateZones, num))
		}
		gts.ope.EvacuateZone(gateZone(zone))
		out := time.Now()
		time.Sleep(evacuationLimit + 3*time.Second)
		Expect(gts.wor.LastRequest(gateZone(zone)).Sub(out)).To(BeNumerically("<", evacuationLimit))
		Expect(gts.successShareSince(time.Now().Add(-3 * time.Second))).To(BeNumerically(">=", minRecoveredShare))
		gts.ope.RestoreZone(gateZone(zone))
		Eventually(func() bool { return gts.wor.LastRequest(gateZone(zone)).After(out.Add(evacuationLimit)) }, recoveryLimit, 100*time.Millisecond).Should(BeTrue())
		stop()
		gts.expectGuarantees()
	})

	It("send nothing to servers that leave while the store is down or that ask for a pause", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop := gts.load(rng)
		time.Sleep(time.Second)
		zone := rng.IntN(gateZones)
		gts.setStoreUnreachable(true)
		Expect(gts.sto.Set(storefaker.Faults{Faults: disturber.Faults{Down: true}})).To(Succeed())
		for _, num := range []int{0, enginesPerZone} {
			gts.wor.Drain(workerID(zone, num))
		}
		gts.wor.Pause(workerID((zone+1)%gateZones, enginesPerZone), 3*time.Second)
		time.Sleep(5 * time.Second)
		Expect(gts.sto.Set(storefaker.Faults{})).To(Succeed())
		gts.setStoreUnreachable(false)
		time.Sleep(time.Second)
		stop()
		gts.expectGuarantees()
	})

	It("apply every configuration within seconds and never revert", func() {
		rng := newRandom()
		gts := newGates(rng)
		for range 6 {
			gts.expectInForce(rng, gts.addRoute())
			gts.sto.TruncateHistory()
		}
	})
})

// Guards against entries that rely on connections that have gone silent: a change, a server that leaves and a planned stop come after.
var _ = Describe("Entries whose open connections go silent", func() {
	It("apply a configuration, leave a draining server alone and stop without a loss", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop, stopLong := gts.load(rng), gts.longLoad(rng)
		time.Sleep(2 * time.Second)
		gts.silence(rng)
		silent := time.Now().Add(time.Millisecond)
		time.Sleep(randomDuration(rng, maxSilenceEffect, maxSilenceEffect+2*time.Second))
		path := gts.addRoute()
		zone := rng.IntN(gateZones)
		gts.wor.Drain(workerID(zone, 0))
		gts.wor.Drain(workerID((zone+1)%gateZones, enginesPerZone))
		time.Sleep(maxConfigDelay)
		for num := 1; num <= gateCount; num++ {
			Expect(gts.probe(rng, num, path)).NotTo(Equal(http.StatusNotFound), "gate-%d, %v after publication", num, maxConfigDelay)
		}
		gts.replace(rng, 1+rng.IntN(gateCount))
		time.Sleep(time.Second)
		since := time.Now()
		time.Sleep(recoveryWindow)
		stopLong()
		stop()
		gts.expectGuarantees()
		// A call that may run once waits on its silent connection until its deadline.
		interrupted := slices.DeleteFunc(gts.interruptedSends(), func(snd gateSend) bool { return snd.kind == router.Unsafe && snd.StartedAt.Before(silent) })
		Expect(interrupted).To(BeEmpty(), "connections went silent at %v", silent)
		Expect(gts.successShareSince(since)).To(BeNumerically(">=", minRecoveredShare))
	})
})

// probe sends one call to an entry and returns its HTTP status.
func (gts *gates) probe(rng *rand.Rand, num int, path string) int {
	cal := callerfaker.New(callerfaker.Options{Name: newUUID(), FixedEntry: gateIP(num) + ":8000", Host: gateHost, Key: gateKey, Random: rng})
	out := cal.Do(GinkgoT().Context(), callerfaker.Call{Kind: router.Unsafe, Path: path, Body: "x", Timeout: time.Second})
	return out[len(out)-1].Status
}

// interruptedSends returns the attempts that reached an entry but whose connection ended before a response status, except those that crossed its close.
func (gts *gates) interruptedSends() []gateSend {
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	var out []gateSend
	for _, snd := range gts.sends {
		if snd.Status == 0 && !snd.Unreachable && !gts.crossedClose(snd) {
			out = append(out, snd)
		}
	}
	return out
}
