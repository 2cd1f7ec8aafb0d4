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
	var itr *advertiser.Advertiser
	put := func(name, zone string) {
		itr.Put(advertiser.Entry{Name: name, Zone: zone, CallerAddress: "at-" + name, Incarnation: 1})
		recentlyHeard[name] = true
	}
	BeforeEach(func() {
		recentlyHeard, ready = map[string]bool{}, true
		itr = advertiser.New("self", func(name string) bool { return recentlyHeard[name] }, func() bool { return ready })
		put("self", "z")
		put("a", "z")
		put("b", "y")
	})

	It("returns only the entries of the caller's own zone if there are enough", func() {
		Expect(itr.Addresses("z")).To(ConsistOf("at-self", "at-a"))
	})

	It("returns all entries if the caller's zone has too few", func() {
		Expect(itr.Addresses("y")).To(ConsistOf("at-self", "at-a", "at-b"))
		Expect(itr.Addresses("none")).To(ConsistOf("at-self", "at-a", "at-b"))
	})

	DescribeTable("leaves out an entry that accepts no callers",
		func(change func(), want ...string) {
			change()
			Expect(itr.Addresses("z")).To(ConsistOf(want))
		},
		Entry("not heard from recently", func() { recentlyHeard["a"] = false }, "at-self", "at-b"),
		Entry("left", func() { itr.Remove("a") }, "at-self", "at-b"),
		Entry("stopping", func() { itr.MarkStopping("a", 1) }, "at-self", "at-b"),
		Entry("this entry stopping", func() { ready = false }, "at-a", "at-b"),
	)

	It("counts the live entries and ranks this one among them", func() {
		put("z", "z")
		recentlyHeard["a"] = false
		num, rank := itr.Live()
		Expect([]int{num, rank}).To(Equal([]int{3, 1}))
	})

	It("accepts a new incarnation of an entry that was stopping", func() {
		itr.MarkStopping("a", 1)
		itr.Put(advertiser.Entry{Name: "a", Zone: "z", CallerAddress: "at-a", Incarnation: 2})
		itr.MarkStopping("a", 1)
		Expect(itr.Addresses("z")).To(ContainElement("at-a"))
	})

	It("returns no more addresses than a caller accepts", func() {
		for num := range 100 {
			put(fmt.Sprint("n", num), "z")
		}
		Expect(itr.Addresses("z")).To(HaveLen(advertiser.MaxAddresses))
	})
})
