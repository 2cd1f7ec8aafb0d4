//go:build soak

package prover

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/requester"
)

const (
	operators       = 3
	retainedRecords = 200
	maxPublishDelay = 1500 * time.Millisecond
)

var smallLog = options{retainRecords: retainedRecords, settings: "snapshot_every_records: 50"}

var _ = Describe("An accepted publication", func() {
	It("takes effect within seconds and never reverts", func() {
		rng, tly := newRandom(), newTally()
		dep := newDeployment(smallLog)
		reg := &register{dep: dep, tly: tly}
		done := make(chan struct{})
		var grp sync.WaitGroup
		grp.Go(func() { reg.readAll(done) })
		for range operators {
			own := rand.New(rand.NewPCG(rng.Uint64(), 3))
			grp.Go(func() {
				defer GinkgoRecover()
				reg.publishRepeatedly(own, done)
			})
		}
		stop := dep.load(rng, tly, 4, func(cal *caller) { cal.reserve(newLedger()) })
		injectFaults(dep, rng, soakDuration(), slices.Concat(entryFaults, logFaults, []faultGenerator{killEntry, pauseEntry, logDown}))
		time.Sleep(settleTime)
		stop()
		close(done)
		grp.Wait()
		reg.check()
		tly.print("publications")
		Expect(tly.count("publication " + stateAccepted)).NotTo(BeZero())
		Expect(tly.violations).To(BeEmpty())
	})

	It("is known to an entry that starts while the log is unavailable", func() {
		rng := newRandom()
		dep := newDeployment(smallLog)
		acc, err := dep.publish(1, 1, nil, &dep.cat.Rules)
		Expect(err).NotTo(HaveOccurred())
		num := 1 + rng.IntN(entryCount)
		dep.setFaults(logAddress, fields{"down": true})
		dep.entry(num).kill()
		dep.startEntry(num)
		Eventually(func() requester.Entry {
			ent, _ := fetch[requester.Entry](dep.cli, entryAddress(num), "/v1/self")
			return ent
		}, startTimeout, 200*time.Millisecond).Should(And(HaveField("BootedFrom", "peer"), HaveField("Revision", acc.Revision)))
		Expect(healthy(dep.cli, entryAddress(num))).To(BeFalse(), "an entry outside the membership accepts no new work")
		dep.setFaults(logAddress, fields{"down": false})
		Eventually(func() bool { return healthy(dep.cli, entryAddress(num)) }, startTimeout, 200*time.Millisecond).Should(BeTrue())
	})
})

func (reg *register) publishRepeatedly(rng *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(randomDuration(rng, 0, maxPublishDelay)):
			reg.publish(rng, nil)
		}
	}
}
