package advertiser_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
)

var _ = Describe("Advertiser", func() {
	var recentlyHeard map[string]bool
	var ready bool
	var adv *advertiser.Advertiser
	put := func(name, zone string) {
		adv.Put(advertiser.Entry{Name: name, Zone: zone, CallerAddress: "at-" + name, Incarnation: 1})
		recentlyHeard[name] = true
	}
	BeforeEach(func() {
		recentlyHeard, ready = map[string]bool{}, true
		adv = advertiser.New("self", func(name string) bool { return recentlyHeard[name] }, func() bool { return ready })
		put("self", "z")
		put("a", "z")
		put("b", "y")
	})

	It("returns only the entries of the caller's own zone if there are enough", func() {
		Expect(adv.Addresses("caller", "z")).To(ConsistOf("at-self", "at-a"))
	})

	It("returns all entries if the caller's zone has too few", func() {
		Expect(adv.Addresses("caller", "y")).To(ConsistOf("at-self", "at-a", "at-b"))
		Expect(adv.Addresses("caller", "none")).To(ConsistOf("at-self", "at-a", "at-b"))
	})

	DescribeTable("leaves out an entry that accepts no callers",
		func(change func(), want ...string) {
			change()
			Expect(adv.Addresses("caller", "z")).To(ConsistOf(want))
		},
		Entry("not heard from recently", func() { recentlyHeard["a"] = false }, "at-self", "at-b"),
		Entry("left", func() { adv.Remove("a") }, "at-self", "at-b"),
		Entry("stopping", func() { adv.MarkStopping("a", 1) }, "at-self", "at-b"),
		Entry("this entry stopping", func() { ready = false }, "at-a", "at-b"),
	)

	It("counts the live entries, and ranks this one among the registered ones", func() {
		put("z", "z")
		recentlyHeard["a"] = false
		Expect(adv.Live()).To(Equal(3))
		num, rank := adv.Members()
		Expect([]int{num, rank}).To(Equal([]int{4, 2}))
	})

	It("accepts a new incarnation of an entry that was stopping", func() {
		adv.MarkStopping("a", 1)
		adv.Put(advertiser.Entry{Name: "a", Zone: "z", CallerAddress: "at-a", Incarnation: 2})
		adv.MarkStopping("a", 1)
		Expect(adv.Addresses("caller", "z")).To(ContainElement("at-a"))
	})

	It("returns no more addresses than a caller accepts", func() {
		for num := range 100 {
			put(fmt.Sprint("n", num), "z")
		}
		Expect(adv.Addresses("caller", "z")).To(HaveLen(advertiser.MaxAddresses))
	})
})
