//go:build soak

package prover

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	seedVariable     = "LOVAGELEVER_SEED"
	durationVariable = "LOVAGELEVER_SOAK"
	netVariable      = "LOVAGELEVER_NET"
	// otherBuildVariable is the absolute path of another build; each entry process is at random of that one or of bin/.
	otherBuildVariable = "LOVAGELEVER_OTHER_BUILD"
	defaultNet         = 31
	defaultDuration    = 25 * time.Second
)

func TestProver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prover")
}

// newRandom returns the random source of a test's fault schedule and prints its seed.
func newRandom() *rand.Rand {
	seed := uint64(time.Now().UnixNano()) % 1_000_000
	if given := os.Getenv(seedVariable); given != "" {
		num, err := strconv.ParseUint(given, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		seed = num
	}
	report("%s: %s=%d", CurrentSpecReport().LeafNodeText, seedVariable, seed)
	return rand.New(rand.NewPCG(seed, 1))
}

// soakDuration returns for how long a test injects faults.
func soakDuration() time.Duration {
	given := os.Getenv(durationVariable)
	if given == "" {
		return defaultDuration
	}
	dur, err := time.ParseDuration(given)
	Expect(err).NotTo(HaveOccurred())
	return dur
}

// netNumber returns the second octet of the loopback addresses of a run, so that runs can go on at once. A run takes three consecutive numbers.
func netNumber() int {
	num, err := strconv.Atoi(os.Getenv(netVariable))
	if err != nil {
		return defaultNet
	}
	return num
}

func report(format string, args ...any) {
	fmt.Printf(time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}
