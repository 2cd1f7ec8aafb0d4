package admitter

import (
	"fmt"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const defaultSeeds = 40

func seeds() int {
	if num, err := strconv.Atoi(os.Getenv("LOVAGELEVER_SEEDS")); err == nil && num > 0 {
		return num
	}
	return defaultSeeds
}

var _ = Describe("Admission under faults", func() {
	It("keeps a cold backend server within its limit and answers each request once", func() {
		granted, refused, lost, warm := 0, 0, 0, 0
		for seed := range seeds() {
			sim := newSimulation(uint64(seed))
			sim.run(120*time.Second, true)
			Expect(sim.problem).To(BeEmpty(), "seed %d", seed)
			sim.drain()
			Expect(sim.problem).To(BeEmpty(), "seed %d", seed)
			granted, refused, lost, warm = granted+sim.granted, refused+sim.refused, lost+sim.lostWithHome, warm+2*sim.warmPeak
		}
		By(fmt.Sprintf("seeds 0 to %d: %d granted, %d refused, %d lost with a restarted home, average peak of %d concurrent requests on a warm server",
			seeds()-1, granted, refused, lost, warm/seeds()))
		Expect(warm / seeds()).To(BeNumerically(">", coldLimit))
	})
})

// drain finishes the current fault, runs without faults, quiesces the unit, and checks that each request has exactly one answer.
func (sim *simulation) drain() {
	for _, step := range sim.faultSteps {
		step()
	}
	sim.faultSteps = nil
	for num := range 3 {
		sim.evictHolder(fmt.Sprint("h", num))
	}
	before := sim.granted
	sim.run(15*time.Second, false)
	if sim.granted == before && sim.problem == "" {
		sim.problem = "no ticket was granted in 15 seconds without faults"
	}
	for _, hom := range sim.homes {
		hom.Quiesce("u")
	}
	sim.collectAnswers()
	if len(sim.pending) > 0 {
		sim.problem = fmt.Sprintf("%d requests have no answer", len(sim.pending))
	}
	for _, wai := range sim.answered {
		if len(wai.answers) > 0 {
			sim.problem = "request " + wai.req.ID + " was answered twice"
		}
	}
	if sum := sim.granted + sim.refused + sim.lostWithHome; sum != sim.requests {
		sim.problem = fmt.Sprintf("%d answers to %d requests", sum, sim.requests)
	}
}
