package gateserver_test

import (
	"context"
	"encoding/json"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/counter"
	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/tailer"
)

var _ = Describe("Server with evidence about crashes", func() {
	It("takes it from other entries, and gives it to one that starts later", func() {
		sto := &store{recs: map[string][]tailer.Record{}}
		one, two := settings("one"), settings("two")
		for _, set := range []string{one.Listen.Entries, two.Listen.Entries} {
			ent := advertiser.Entry{Name: "one", Zone: "z", EntryAddress: set, Incarnation: 1, Cores: 1}
			if set == two.Listen.Entries {
				ent.Name = "two"
			}
			data, err := json.Marshal(ent)
			Expect(err).NotTo(HaveOccurred())
			sto.put(topics.Entries, ent.Name, data)
		}
		var cou counter.Counter
		mes := messenger.New(net.ParseIP(one.Address), &cou)
		DeferCleanup(mes.Close)
		known := func(address string) func() int {
			return func() int {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				ans, err := messenger.Call[gateserver.EvidenceQuestion, gateserver.EvidenceAnswer](ctx, mes, address, "Evidence", gateserver.EvidenceQuestion{Digests: []uint64{1}})
				if err != nil {
					return -1
				}
				return len(ans.Evidence.Crashes)
			}
		}
		start(one, sto)
		Eventually(known(one.Listen.Entries), "3s").Should(BeZero())
		con, err := net.Dial("udp", one.Listen.Entries)
		Expect(err).NotTo(HaveOccurred())
		defer con.Close()
		evi := quarantiner.Evidence{Crashes: []quarantiner.Crash{{ID: "u1", Subjects: []string{"s"}}, {ID: "u2", Subjects: []string{"s"}}}}
		for _, data := range heartbeater.EncodeEvidence(evi) {
			_, err := con.Write(data)
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(known(one.Listen.Entries), "3s").Should(Equal(2))
		start(two, sto)
		Eventually(known(two.Listen.Entries), "5s").Should(Equal(2))
	})
})
