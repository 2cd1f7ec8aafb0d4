//go:build soak

package prover

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/platform/callerfaker"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sampler"
)

const (
	// slowSoakCallers is the number of slow callers that the soak adds to one entry.
	slowSoakCallers = 10
	// slowBodyBytes is the size of their requests and of the answers.
	slowBodyBytes = 200 << 10
	// memoryCallers is the number of slow callers in the test of an entry's memory.
	memoryCallers = 300
	// maxMemoryTest bounds how long that test sends load.
	maxMemoryTest = 30 * time.Second
	// refusalLimit is the time within which a refusal comes at once, on a machine that is busy with the load.
	refusalLimit = time.Second
)

// slowLoad starts callers of one entry that send large requests and read the answers with pauses, until the returned function stops them.
func (gts *gates) slowLoad(rng *rand.Rand, num, callers int, pause time.Duration) func() {
	done := make(chan struct{})
	calls := []callerfaker.Call{
		{Kind: router.Unsafe, Path: "/book/x", Body: strings.Repeat("s", slowBodyBytes), Timeout: 3 * time.Second},
		{Kind: router.Safe, Path: "/look/x", Body: strings.Repeat("s", slowBodyBytes), Timeout: 3 * time.Second},
		{Kind: router.Stream, Path: "/chat/x", Model: "large", Body: strings.Repeat("s", slowBodyBytes), Timeout: 5 * time.Second},
	}
	var all sync.WaitGroup
	for idx := range callers {
		own := rand.New(rand.NewPCG(rng.Uint64(), 4))
		cal := callerfaker.New(callerfaker.Options{Name: fmt.Sprintf("%s-slow-%d", newUUID(), idx), FixedEntry: gateIP(num) + ":8000", Host: gateHost, Key: gateKey, ReadPause: pause, Random: own})
		one := calls[idx%len(calls)]
		all.Go(func() { gts.call(done, cal, one, own) })
	}
	return func() {
		close(done)
		all.Wait()
	}
}

var _ = Describe("An entry with little memory", func() {
	// Load: 300 callers of one entry that send and get 200 KiB each and read 16 KiB in half a second, and the usual callers.
	It("stays within it beside hundreds of slow callers, and serves again afterwards", func() {
		rng := newRandom()
		gts := newGates(rng)
		stop := gts.load(rng)
		stopSlow := gts.slowLoad(rng, 1, memoryCallers, 500*time.Millisecond)
		pro := sampler.Process{ID: gts.gate(1).cmd.Process.Pid}
		peak := int64(0)
		for began := time.Now(); time.Since(began) < min(soakDuration(), maxMemoryTest); time.Sleep(20 * time.Millisecond) {
			used, err := pro.ResidentMemory()
			Expect(err).NotTo(HaveOccurred())
			peak = max(peak, used)
		}
		report("peak memory of the entry: %.1f MB of %d MB", float64(peak)/(1<<20), gateMemoryMB)
		Expect(peak).To(BeNumerically("<", gateMemoryMB<<20))
		stopSlow()
		since := time.Now()
		time.Sleep(recoveryWindow)
		stop()
		gts.expectGuarantees()
		Expect(gts.gate(1).ended()).To(BeFalse())
		Expect(gts.successShareSince(since)).To(BeNumerically(">=", minRecoveredShare))
		Expect(gts.lateRefusals(gateIP(1) + ":8000")).To(BeEmpty())
	})
})

// lateRefusals returns the refusals of an entry for want of memory that did not come at once.
func (gts *gates) lateRefusals(entry string) []gateSend {
	gts.mtx.Lock()
	defer gts.mtx.Unlock()
	var out []gateSend
	for _, snd := range gts.sends {
		if snd.Entry == entry && snd.NoMemory && snd.EndedAt.Sub(snd.StartedAt) > refusalLimit {
			out = append(out, snd)
		}
	}
	return out
}
