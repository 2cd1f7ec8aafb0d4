package peerpicker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/peerpicker"
)

const service = 7

// entries returns a number of entries in three availability zones.
func entries(num int) []peerpicker.Peer {
	var out []peerpicker.Peer
	for pos := range num {
		out = append(out, peerpicker.Peer{Name: fmt.Sprint("e", pos), Zone: fmt.Sprint("z", pos%3), Cores: 0.4})
	}
	return out
}

// pickers returns the picker of each entry whose links are lost, which know of each other after their announcements.
func pickers(all []peerpicker.Peer, lost int, rng *rand.Rand) []*peerpicker.Picker {
	var out []*peerpicker.Picker
	for self := range lost {
		pic := peerpicker.New(peerpicker.Options{Zone: all[self].Zone, Random: rng.Float64, Clock: clockwork.NewFakeClock(), Peers: func() []peerpicker.Peer {
			return append(append([]peerpicker.Peer{}, all[:self]...), all[self+1:]...)
		}})
		for pos := range lost {
			pic.RecordSilent(all[pos].Name, []uint64{service})
		}
		out = append(out, pic)
	}
	return out
}

var _ = Describe("Picker", func() {
	for _, num := range []int{7, 74, 195, 390} {
		for _, lost := range []int{1, num / 3, num / 2, num - 2} {
			// Guards against herds: requests of many entries at once must spread over all that can take them.
			It(fmt.Sprintf("distributes the requests of %d of %d entries over those that reach the service", lost, num), func() {
				const perEntry = 50
				all := entries(num)
				rng := rand.New(rand.NewPCG(uint64(num), uint64(lost)))
				got := map[string]int{}
				for _, pic := range pickers(all, lost, rng) {
					for range perEntry {
						pee, found := pic.Pick(service, nil)
						Expect(found).To(BeTrue())
						got[pee.Name]++
					}
				}
				for _, pee := range all[:lost] {
					Expect(got[pee.Name]).To(BeZero())
				}
				// Within a zone of which half is lost, an entry may get as many requests as its own.
				mean := float64(perEntry*lost) / float64(num-lost)
				for _, count := range got {
					Expect(float64(count)).To(BeNumerically("<", 2*max(mean, perEntry)))
				}
			})
		}
	}

	It("stays in the availability zone while half of its entries reach the service", func() {
		all := entries(12)
		pic := pickers(all, 1, rand.New(rand.NewPCG(1, 1)))[0]
		pic.RecordSilent("e3", []uint64{service})
		for range 100 {
			pee, _ := pic.Pick(service, nil)
			Expect(pee.Zone).To(Equal("z0"))
		}
		pic.RecordSilent("e6", []uint64{service})
		zones := map[string]int{}
		for range 300 {
			pee, _ := pic.Pick(service, nil)
			zones[pee.Zone]++
		}
		Expect(zones["z1"]).To(BeNumerically(">", zones["z0"]))
	})

	It("leaves out entries that are excluded or did not take a request, these for a while", func() {
		clk := clockwork.NewFakeClock()
		pic := peerpicker.New(peerpicker.Options{Clock: clk, Peers: func() []peerpicker.Peer { return entries(2) }})
		pic.Avoid("e1")
		Expect(pic.Usable(service, "e1")).To(BeFalse())
		_, found := pic.Pick(service, []string{"e0"})
		Expect(found).To(BeFalse())
		clk.Advance(time.Second)
		pee, found := pic.Pick(service, []string{"e0"})
		Expect(found).To(BeTrue())
		Expect(pee.Name).To(Equal("e1"))
	})

	It("knows which service an entry does not reach, until it says that it does", func() {
		pic := pickers(entries(3), 1, rand.New(rand.NewPCG(1, 1)))[0]
		pic.RecordSilent("e1", []uint64{service})
		pic.RecordSilent("e2", []uint64{service})
		Expect(pic.AnyReaches(service)).To(BeFalse())
		Expect(pic.AnyReaches(service + 1)).To(BeTrue())
		Expect(pic.AnySilent("e1")).To(BeTrue())
		pic.RecordSilent("e1", nil)
		Expect(pic.AnyReaches(service)).To(BeTrue())
		Expect(pic.AnySilent("e1")).To(BeFalse())
	})

	It("picks in proportion to the capacities", func() {
		list := []peerpicker.Peer{{Name: "small", Cores: 0.2}, {Name: "large", Cores: 0.8}}
		rng := rand.New(rand.NewPCG(1, 1))
		pic := peerpicker.New(peerpicker.Options{Clock: clockwork.NewFakeClock(), Random: rng.Float64, Peers: func() []peerpicker.Peer { return list }})
		got := map[string]int{}
		for range 1000 {
			pee, _ := pic.Pick(service, nil)
			got[pee.Name]++
		}
		Expect(got["large"]).To(BeNumerically("~", 800, 60))
	})
})
