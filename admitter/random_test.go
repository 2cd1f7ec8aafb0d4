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
			wor := newWorld(uint64(seed))
			wor.run(120*time.Second, true)
			Expect(wor.problem).To(BeEmpty(), "seed %d", seed)
			wor.settle()
			Expect(wor.problem).To(BeEmpty(), "seed %d", seed)
			granted, refused, lost, warm = granted+wor.granted, refused+wor.refused, lost+wor.lost, warm+2*wor.warmMost
		}
		By(fmt.Sprintf("seeds 0 to %d: %d granted, %d refused, %d lost with a home, at most %d at once in a warm world on average",
			seeds()-1, granted, refused, lost, warm/seeds()))
		Expect(warm / seeds()).To(BeNumerically(">", coldLimit))
	})
})

// settle ends the plan, serves in calm, quiesces, and checks the answers.
func (wor *world) settle() {
	for _, step := range wor.plan {
		step()
	}
	wor.plan = nil
	for num := range 3 {
		wor.evict(fmt.Sprint("h", num))
	}
	before := wor.granted
	wor.run(15*time.Second, false)
	if wor.granted == before && wor.problem == "" {
		wor.problem = "nothing was granted in 15 calm seconds"
	}
	for _, hom := range wor.homes {
		hom.Quiesce("u")
	}
	wor.answer()
	if len(wor.waiters) > 0 {
		wor.problem = fmt.Sprintf("%d requests have no answer", len(wor.waiters))
	}
	for _, wai := range wor.answers {
		if len(wai.answered) > 0 {
			wor.problem = "request " + wai.req.ID + " was answered twice"
		}
	}
	if sum := wor.granted + wor.refused + wor.lost; sum != wor.requests {
		wor.problem = fmt.Sprintf("%d answers to %d requests", sum, wor.requests)
	}
}
