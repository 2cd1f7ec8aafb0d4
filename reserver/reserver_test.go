package reserver_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/reserver"
)

const budget = 36 << 20

var _ = Describe("Reserver", func() {
	// Load: streams of 390 callers that stop reading at once, while the servers send 1 KiB events without end.
	It("lets every stream hold a part when no caller reads, and leaves room for new ones", func() {
		res := reserver.New(reserver.Options{Budget: budget})
		holds := make([]int64, 390)
		for grown := true; grown; {
			grown = false
			for num := range holds {
				if res.TryHoldEvent(holds[num], 1<<10) {
					holds[num] += 1 << 10
					grown = true
				}
			}
		}
		Expect(res.Held(reserver.Events)).To(BeNumerically("<=", budget))
		for _, hol := range holds {
			Expect(hol).To(BeNumerically(">=", 32<<10), "each holds more than an answer of 28 events")
		}
		Expect(res.TryHoldEvent(8<<10, 1<<10)).To(BeTrue(), "a stream that holds little")
		Expect(res.Admit()).To(BeEmpty(), "callers who don't read cause no refusals of others")
	})

	It("stops the stream that holds most first", func() {
		res := reserver.New(reserver.Options{Budget: 1 << 20})
		res.Hold(reserver.Events, 300<<10)
		Expect(res.TryHoldEvent(400<<10, 1<<10)).To(BeFalse())
		Expect(res.TryHoldEvent(100<<10, 1<<10)).To(BeTrue())
	})

	It("holds no more than its share for one stream", func() {
		res := reserver.New(reserver.Options{Budget: budget, StreamBytes: 100})
		Expect(res.TryHoldEvent(0, 1000)).To(BeTrue(), "one event is always held")
		Expect(res.TryHoldEvent(90, 11)).To(BeFalse())
	})

	refusals := []struct {
		name string
		held int64
		used int64
		want reserver.Refusal
	}{
		{"nothing held", 0, 0, ""},
		{"the budget half used", budget / 2, 100, ""},
		{"the budget nearly used", budget * 9 / 10, 100, reserver.HeldBytes},
		{"the process near its limit for other reasons", 0, 190, reserver.ProcessMemory},
	}
	for _, cas := range refusals {
		It("decides on new requests with "+cas.name, func() {
			res := reserver.New(reserver.Options{Budget: budget, ProcessLimit: 200, ProcessUse: func() int64 { return cas.used }})
			res.Hold(reserver.Requests, cas.held)
			res.Update()
			Expect(res.Refusing()).To(Equal(cas.want))
			Expect(res.Admit()).To(Equal(cas.want))
			if cas.want != "" {
				Expect(res.Refused(cas.want)).To(BeNumerically("==", 1))
			}
			res.Release(reserver.Requests, cas.held)
			Expect(res.Held(reserver.Requests)).To(BeZero())
		})
	}

	It("holds large bodies within half of the budget only, which refuses nobody", func() {
		res := reserver.New(reserver.Options{Budget: 200})
		Expect(res.TryHold(reserver.Responses, 60)).To(BeTrue())
		Expect(res.TryHold(reserver.Requests, 60)).To(BeFalse())
		Expect(res.Held(reserver.Requests)).To(BeZero())
		Expect(res.Admit()).To(BeEmpty())
		res.Release(reserver.Responses, 60)
		Expect(res.TryHold(reserver.Requests, 60)).To(BeTrue())
	})
})
