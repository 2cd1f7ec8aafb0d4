package gateserver_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/tailer"
)

// Guards against callers that get the address of a stopping entry because its clock was set back before it started.
var _ = Describe("Directory of an entry beside one whose clock was set back", func() {
	for _, entries := range []int{195, 390} {
		It(fmt.Sprintf("leaves out one of %d others that stops", entries), func() {
			sto := &store{recs: map[string][]tailer.Record{}}
			set := settings("edge")
			set.Zone = "far"
			end := int64(0)
			register := func(num int, incarnation uint64) {
				data, err := json.Marshal(advertiser.Entry{Name: fmt.Sprint(num), Zone: fmt.Sprint(num / 2), CallerAddress: fmt.Sprint("caller-", num), EntryAddress: "127.0.0.1:9", Incarnation: incarnation})
				Expect(err).NotTo(HaveOccurred())
				end = 1 + sto.put(topics.Entries, fmt.Sprint(num), data)
			}
			for num := range entries {
				register(num, 20)
			}
			directory := make(chan func(caller, zone string) []string, 1)
			startWith(set, sto, func(pla *gateserver.Platform) {
				pla.Directory = func(list func(string, string) []string, _ time.Duration) http.Handler {
					directory <- list
					return http.NotFoundHandler()
				}
			})
			con, err := net.Dial("udp", set.Listen.Entries)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(con.Close)
			addresses, seq := <-directory, uint64(0)
			listed := func(incarnation uint64, stopping bool) func() []string {
				return func() []string {
					seq++
					for num := range entries {
						bea := heartbeater.Heartbeat{Name: fmt.Sprint(num), Incarnation: 20, Seq: seq, TopicEnds: []int64{0, 0, end}}
						if num == 0 {
							bea.Incarnation, bea.Stopping = incarnation, stopping
						}
						_, _ = con.Write(heartbeater.Encode(bea))
					}
					return addresses("", "0")
				}
			}
			Eventually(listed(20, false), "5s", "100ms").Should(ConsistOf("caller-0", "caller-1"))
			register(0, 10)
			Eventually(listed(10, true), "5s", "100ms").ShouldNot(ContainElement("caller-0"))
		})
	}
})
