package advertiser_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
)

// Guards against small entries that get as many callers as large ones when all callers arrive at once.
var _ = Describe("Addresses of unequal entries", func() {
	const callers = 3000
	small := advertiser.Entry{Cores: 0.192, LinkMbps: 20, MemoryMB: 184, Descriptors: 4100}
	large := advertiser.Entry{Cores: 0.8, LinkMbps: 200, MemoryMB: 536, Descriptors: 8192}
	cases := []struct {
		name         string
		small, large []int
	}{
		{"55 small beside 6 large", []int{21, 19, 15}, []int{2, 2, 2}},
		{"7 equal", []int{3, 2, 2}, []int{0, 0, 0}},
		{"195 equal", []int{65}, []int{0}},
		{"390 equal", []int{130}, []int{0}},
		{"300 small beside 90 large", []int{100}, []int{30}},
	}
	for _, cas := range cases {
		Describe(cas.name, func() {
			down := map[string]bool{}
			var adv *advertiser.Advertiser
			var weights map[string]float64
			zoneOf := func(zone int) string { return fmt.Sprint("z", zone) }
			put := func(ent advertiser.Entry, zone, num int) {
				ent.Zone = zoneOf(zone)
				ent.Name = fmt.Sprintf("%s-%v-%d", ent.Zone, ent.Cores, num)
				ent.CallerAddress = ent.Name
				adv.Put(ent)
				weights[ent.Name] = ent.Capacity()
			}
			BeforeEach(func() {
				clear(down)
				adv = advertiser.New("reader", func(name string) bool { return !down[name] }, func() bool { return true })
				weights = map[string]float64{}
				for zone := range cas.small {
					for num := range cas.small[zone] {
						put(small, zone, num)
					}
					for num := range cas.large[zone] {
						put(large, zone, num)
					}
				}
			})
			listOf := func(caller, zone int) []string {
				return adv.Addresses(fmt.Sprint("10.9.", caller/250, ".", caller%250), zoneOf(zone))
			}

			It("share the callers by capacity, each with several addresses of its own zone", func() {
				for zone := range cas.small {
					share, sum := map[string]float64{}, 0.0
					for caller := range callers {
						list := listOf(caller, zone)
						named := len(slices.Compact(slices.Sorted(slices.Values(list))))
						if named != len(list) || named < min(4, cas.small[zone]+cas.large[zone]) || named > advertiser.MaxAddresses {
							Fail(fmt.Sprintf("%d addresses, %d of them different", len(list), named))
						}
						for _, name := range list {
							share[name] += 1 / float64(len(list)) / callers
						}
					}
					for name := range weights {
						if name[:2] == zoneOf(zone) {
							sum += weights[name]
						}
					}
					for name, wei := range weights {
						if name[:2] == zoneOf(zone) {
							Expect(share[name]).To(BeNumerically("~", wei/sum, 0.15*wei/sum), name)
						}
					}
				}
			})

			It("stay the same for a caller but for one place for each entry that leaves", func() {
				before := listOf(7, 0)
				Expect(listOf(7, 0)).To(Equal(before))
				down[before[len(before)-1]] = true
				after := listOf(7, 0)
				for _, name := range before[:len(before)-1] {
					Expect(after).To(ContainElement(name))
				}
			})
		})
	}

	It("name some entries whichever small ones fail", func() {
		down := map[string]bool{}
		adv := advertiser.New("reader", func(name string) bool { return !down[name] }, func() bool { return true })
		for num := range 21 {
			ent := small
			ent.Name, ent.Zone, ent.CallerAddress = fmt.Sprint("s", num), "z", "small"
			adv.Put(ent)
			down[ent.Name] = true
		}
		for _, name := range []string{"l1", "l2"} {
			ent := large
			ent.Name, ent.Zone, ent.CallerAddress = name, "z", name
			adv.Put(ent)
		}
		Expect(adv.Addresses("c", "z")).To(ConsistOf("l1", "l2"))
		clear(down)
		Expect(adv.Addresses("c", "z")).To(ContainElements("l1", "l2"))
	})

	DescribeTable("count an entry by its scarcest resource",
		func(ent advertiser.Entry, want float64) {
			Expect(ent.Capacity()).To(BeNumerically("~", want, 0.5))
		},
		Entry("processor", large, 400.0),
		Entry("link", advertiser.Entry{Cores: 4, LinkMbps: 20}, 152.5),
		Entry("memory", advertiser.Entry{Cores: 4, MemoryMB: 34}, 80.0),
		Entry("descriptors", advertiser.Entry{Cores: 4, Descriptors: 400}, 100.0),
		Entry("registered by an earlier version", advertiser.Entry{Cores: 0.192}, 96.0),
		Entry("nothing known", advertiser.Entry{}, 0.0),
	)
})
