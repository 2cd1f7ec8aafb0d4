//go:build soak

package prover

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"
)

const (
	completers  = 12
	reservers   = 6
	fetchers    = 3
	settleAfter = 8 * time.Second
)

var (
	entryFaults   = []maker{killEntry, pauseEntry, cutEntry, cutPair, cutFromLog, cutFromDomain}
	logFaults     = []maker{logDown, logPaused, logSlow, logLosing, logRefusing}
	engineFaults  = []maker{killEngine, pauseEngine, slowEngine, darkDomain}
	answerFaults  = []maker{lateEngine, crossEngine, truncateEngine, repeatEngine}
	serviceFaults = []maker{killService, pauseService, coldService, losingService}
)

// soak breaks a deployment under load, mends it and lets it settle.
func soak(dep *deployment, rng *rand.Rand, tly *tally, led *ledger, makers ...[]maker) {
	stopCompletions := dep.load(rng, tly, completers, (*caller).complete)
	stopCalls := dep.load(rng, tly, reservers, func(cal *caller) { cal.reserve(led) })
	stopFetches := dep.load(rng, tly, fetchers, (*caller).fetch)
	disturb(dep, rng, soakFor(), slices.Concat(makers...))
	time.Sleep(settleAfter)
	stopCompletions()
	stopCalls()
	stopFetches()
	tly.print("soak")
	Expect(tly.count("completion whole")).NotTo(BeZero())
}
