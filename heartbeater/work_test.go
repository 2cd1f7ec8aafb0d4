package heartbeater_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/heartbeater"
)

var _ = Describe("Work in tokens", func() {
	It("is rounded up in heartbeats and in totals", func() {
		bea, err := heartbeater.Decode(heartbeater.Encode(heartbeater.Heartbeat{
			Name: "e", ExchangesWork: true, Running: map[uint64]estimator.Work{1: {Requests: 1, Unread: 1, Committed: 257}},
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(bea.Running[1]).To(Equal(estimator.Work{Requests: 1, Unread: 64, Committed: 512}))
	})

	It("leaves heartbeats readable for entries of earlier versions", func() {
		const workFlag = 16
		data := heartbeater.Encode(full)
		data[1] &^= workFlag // Entries of earlier versions ignore the flag.
		bea, err := heartbeater.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(bea.TopicEnds[:len(full.TopicEnds)]).To(Equal(full.TopicEnds))
		Expect(bea.Suspects).To(Equal(full.Suspects))
		Expect(bea.Silent).To(Equal(full.Silent))
		Expect(bea.Running).To(Equal(map[uint64]estimator.Work{1: {Requests: 3}, 1 << 63: {Requests: 20}}))
	})

	It("is left out of totals for entries of earlier versions", func() {
		data := heartbeater.EncodeTotals(heartbeater.Totals{Name: "e", RequestsOnly: true, Running: map[uint32]int{1: 2}, Work: map[uint32]estimator.Work{1: {Requests: 2, Unread: 64}}})
		Expect(data[0]).To(BeEquivalentTo(2))
		tot, err := heartbeater.DecodeTotals(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(tot.Running).To(Equal(map[uint32]int{1: 2}))
		Expect(tot.Work).To(BeEmpty())
	})

	It("of absurd size fits into one packet", func() {
		bea := heartbeater.Heartbeat{Name: "e", ExchangesWork: true, Running: map[uint64]estimator.Work{}}
		for num := range uint64(300) {
			bea.Running[num<<50] = estimator.Work{Requests: 1 << 40, Unread: 1 << 60, Committed: -1}
		}
		data := heartbeater.Encode(bea)
		Expect(len(data)).To(BeNumerically("<=", 1400))
		_, err := heartbeater.Decode(data)
		Expect(err).NotTo(HaveOccurred())
	})

	It("of the busiest units is in a heartbeat that is too small for all", func() {
		bea := heartbeater.Heartbeat{Name: "e", ExchangesWork: true, Running: map[uint64]estimator.Work{}}
		for num := range uint64(300) {
			bea.Running[num<<50] = estimator.Work{Requests: 1, Unread: 64 * int(num), Committed: 256 * int(num)}
		}
		got, err := heartbeater.Decode(heartbeater.Encode(bea))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(got.Running)).To(BeNumerically(">", 80))
		for num := uint64(280); num < 300; num++ {
			Expect(got.Running[num<<50]).To(Equal(bea.Running[num<<50]))
		}
	})

	It("of all units is in a few totals in a row that are too small for all", func() {
		const units = 190
		tot := heartbeater.Totals{Name: "edge-kolkata-rajarhat-37", Running: map[uint32]int{}, Work: map[uint32]estimator.Work{}}
		for num := range uint32(units) {
			tot.Running[num<<20] = 20
			tot.Work[num<<20] = estimator.Work{Requests: 20, Unread: 640, Committed: 25_600}
		}
		known := map[uint32]estimator.Work{}
		for seq := range uint64(5) {
			tot.Seq = seq
			got, err := heartbeater.DecodeTotals(heartbeater.EncodeTotals(tot))
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Running).To(Equal(tot.Running))
			for key, wor := range got.Work {
				known[key] = wor
			}
		}
		Expect(known).To(Equal(tot.Work))
	})
})

func BenchmarkEncode(b *testing.B) {
	cases := []struct{ entries, units, pools int }{{7, 18, 2}, {61, 12, 2}, {195, 8, 4}, {390, 6, 4}}
	for _, cas := range cases {
		b.Run(fmt.Sprint(cas.entries, " entries"), func(b *testing.B) {
			bea := heartbeater.Heartbeat{Name: "edge-17", Incarnation: 1 << 60, Seq: 1000, TopicEnds: []int64{500, 90_000, 500, 0, 0, 0}, Running: map[uint64]estimator.Work{}}
			for num := range uint64(cas.units) {
				bea.Running[num<<50] = estimator.Work{Requests: 2, Unread: 1400, Committed: 3000}
			}
			for num := range uint64(cas.pools) {
				bea.Demand = append(bea.Demand, heartbeater.Demand{Pool: 1<<63 + num, Demand: estimator.Demand{Requests: 4, PromptTokens: 4000, AnswerTokens: 400}})
			}
			before := len(heartbeater.Encode(heartbeater.Heartbeat{Name: bea.Name, Incarnation: bea.Incarnation, Seq: bea.Seq, TopicEnds: bea.TopicEnds, Running: bea.Running}))
			bea.ExchangesWork = true
			for b.Loop() {
				heartbeater.Encode(bea)
			}
			b.ReportMetric(float64(before), "B/requests-only")
			b.ReportMetric(float64(len(heartbeater.Encode(bea))), "B/heartbeat")
		})
	}
}
