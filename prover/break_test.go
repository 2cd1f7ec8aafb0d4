//go:build soak

package prover

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"
)

const (
	completionCallers  = 12
	reservationCallers = 6
	fetchCallers       = 3
	settleTime         = 8 * time.Second
)

var (
	entryFaults   = []faultGenerator{killEntry, pauseEntry, partitionEntry, partitionPair, partitionFromLog, partitionFromDomain}
	logFaults     = []faultGenerator{logDown, logPaused, logSlow, logLosingAnswers, logRefusing}
	engineFaults  = []faultGenerator{killEngine, pauseEngine, slowEngine, domainDown}
	answerFaults  = []faultGenerator{lateEngine, crossEngine, truncateEngine, repeatEngine}
	serviceFaults = []faultGenerator{killService, pauseService, coldService, serviceLosingAnswers}
)

// soak injects faults into a deployment under load, clears them and gives the deployment time to recover.
func soak(dep *deployment, rng *rand.Rand, tly *tally, led *ledger, generators ...[]faultGenerator) {
	stopCompletions := dep.load(rng, tly, completionCallers, (*caller).complete)
	stopCalls := dep.load(rng, tly, reservationCallers, func(cal *caller) { cal.reserve(led) })
	stopFetches := dep.load(rng, tly, fetchCallers, (*caller).fetch)
	injectFaults(dep, rng, soakDuration(), slices.Concat(generators...))
	time.Sleep(settleTime)
	stopCompletions()
	stopCalls()
	stopFetches()
	tly.print("soak")
	Expect(tly.count("completion succeeded")).NotTo(BeZero())
}
