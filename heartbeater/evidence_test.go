package heartbeater_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/quarantiner"
)

var _ = Describe("Evidence", func() {
	evi := quarantiner.Evidence{
		Crashes: []quarantiner.Crash{{ID: "i-1@5/g2", Age: 1500 * time.Microsecond, Subjects: []string{"s1"}}},
		Proofs:  []quarantiner.Proof{{Subject: "s2", Age: time.Hour}},
	}

	It("is unchanged by encoding and decoding, and rejected when truncated within an item", func() {
		list := heartbeater.EncodeEvidence(evi)
		Expect(list).To(HaveLen(1))
		got, err := heartbeater.DecodeEvidence(list[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(evi))
		for end := range list[0] {
			cut, err := heartbeater.DecodeEvidence(list[0][:end])
			Expect(err != nil || len(cut.Crashes)+len(cut.Proofs) < 2).To(BeTrue())
		}
	})

	It("of many crashes is split into datagrams that fit into one packet, without names that are too long", func() {
		var big quarantiner.Evidence
		for num := range 100 {
			big.Crashes = append(big.Crashes, quarantiner.Crash{ID: fmt.Sprintf("server-%d@1790515234055/group", num), Subjects: []string{"one", "two", string(make([]byte, 300))}})
		}
		items := 0
		for _, data := range heartbeater.EncodeEvidence(big) {
			Expect(len(data)).To(BeNumerically("<=", 1400))
			got, err := heartbeater.DecodeEvidence(data)
			Expect(err).NotTo(HaveOccurred())
			items += len(got.Crashes)
		}
		Expect(items).To(Equal(200))
	})

	It("is ignored by entries that know only heartbeats and totals", func() {
		data := heartbeater.EncodeEvidence(evi)[0]
		_, err := heartbeater.Decode(data)
		Expect(err).To(HaveOccurred())
		_, err = heartbeater.DecodeTotals(data)
		Expect(err).To(HaveOccurred())
	})
})
