package gateserver_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/tailer"
)

// listing captures the list of addresses that an entry gives to callers.
type listing struct {
	mux  sync.Mutex
	list func(caller, zone string) []string
}

func (lst *listing) directory(list func(caller, zone string) []string, _ time.Duration) http.Handler {
	lst.mux.Lock()
	defer lst.mux.Unlock()
	lst.list = list
	return http.NotFoundHandler()
}

func (lst *listing) addresses() []string {
	lst.mux.Lock()
	defer lst.mux.Unlock()
	if lst.list == nil {
		return nil
	}
	return lst.list("caller", "z")
}

var _ = Describe("Server among many entries", func() {
	// Guards against callers that are sent to an entry for 13 s after its end, which is when 195 entries notice by themselves.
	It("names no entry to callers that a collector says is silent", func() {
		const entries = 50
		sto := &store{recs: map[string][]tailer.Record{}}
		var names []string
		for num := range entries {
			name := fmt.Sprint("e", num)
			names = append(names, name)
			data, err := json.Marshal(advertiser.Entry{Name: name, Zone: "z", CallerAddress: "at-" + name, EntryAddress: "127.0.0.1:9", Incarnation: 1, Cores: 1})
			Expect(err).NotTo(HaveOccurred())
			sto.put(topics.Entries, name, data)
		}
		set := settings("edge")
		var lst listing
		startWith(set, sto, func(pla *gateserver.Platform) { pla.Directory = lst.directory })
		sendHeartbeats(set.Listen.Entries, names...)
		Eventually(lst.addresses, "5s").Should(ContainElements("at-e5", "at-e6"))
		con, err := net.Dial("udp", set.Listen.Entries)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(con.Close)
		seq := uint64(0)
		Eventually(func() []string {
			seq++
			tot := heartbeater.Totals{Name: "e0", Incarnation: 1, Seq: seq, Silent: []uint32{uint32(xxhash.Sum64String("e5"))}}
			_, err := con.Write(heartbeater.EncodeTotals(tot))
			Expect(err).NotTo(HaveOccurred())
			return lst.addresses()
		}, "3s").ShouldNot(ContainElement("at-e5"))
		Expect(lst.addresses()).To(ContainElement("at-e6"))
		Eventually(lst.addresses, "3s").Should(ContainElement("at-e5"), "once the collector says nothing more")
	})
})
