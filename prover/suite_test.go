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
	defaultNet       = 31
	defaultDuration  = 25 * time.Second
)

func TestProver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prover")
}

// newRandom returns the source of a test's schedule and prints its seed.
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

// soakFor is how long a test breaks its deployment.
func soakFor() time.Duration {
	given := os.Getenv(durationVariable)
	if given == "" {
		return defaultDuration
	}
	dur, err := time.ParseDuration(given)
	Expect(err).NotTo(HaveOccurred())
	return dur
}

// netNumber tells runs apart that go on at once; three numbers from it on are taken.
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
