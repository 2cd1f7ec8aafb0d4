package gateconfigurer_test

import (
	"strings"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/gateconfigurer"
)

const settings = `name: e
availability_zone: z
region: r
address: 127.0.0.1
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2", directory: "127.0.0.1:3", entries: "127.0.0.1:4", metrics: "127.0.0.1:5"}
store: {address: "127.0.0.1:6", shortest_lease: 1000ms}
memory_mb: 284
cpu_cores: 0.4
bounds: {stop_grace: 8s, longest_directory_validity: 5s, retry_ratio: 0.2, retry_slack: 105, retry_window: 10s, load_window: 5s}
`

var _ = Describe("Parse", func() {
	It("reads settings and ignores unknown keys", func() {
		set, err := gateconfigurer.Parse([]byte(settings + "later: {more: 1}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Bounds.StopGrace).To(Equal(8 * time.Second))
		Expect(set.Store.Address).To(Equal("127.0.0.1:6"))
	})

	It("sets the defaults of what may be held", func() {
		set, err := gateconfigurer.Parse([]byte(settings + "held: {stream_kb: 100}\n"))
		Expect(err).NotTo(HaveOccurred())
		want := gateconfigurer.DefaultHeld
		want.StreamKB = 100
		Expect(set.Held).To(Equal(want))
	})

	It("sets the defaults of what clients may cost", func() {
		set, err := gateconfigurer.Parse([]byte(settings + "clients: {header_kb: 32, header_timeout: 3s}\n"))
		Expect(err).NotTo(HaveOccurred())
		want := gateconfigurer.DefaultClients
		want.HeaderKB, want.HeaderTimeout = 32, 3*time.Second
		Expect(set.Clients).To(Equal(want))
	})

	DescribeTable("names the missing or invalid field",
		func(old, other, field string) {
			text := strings.Replace(settings, old, other, 1)
			Expect(text).NotTo(Equal(settings))
			_, err := gateconfigurer.Parse([]byte(text))
			Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(field)))
		},
		Entry("no name", "name: e\n", "", "name missing"),
		Entry("no zone", "availability_zone: z\n", "", "availability_zone missing"),
		Entry("a host name", "address: 127.0.0.1\n", "address: host\n", "address"),
		Entry("an address without a port", `callers: "127.0.0.1:1"`, `callers: "127.0.0.1"`, "listen.callers"),
		Entry("a forwarding address without a port", `metrics: "127.0.0.1:5"`, `metrics: "127.0.0.1:5", forwarding: "127.0.0.1"`, "listen.forwarding"),
		Entry("a duration without a unit", "stop_grace: 8s", "stop_grace: [8]", "stop_grace"),
		Entry("no retry window", "retry_window: 10s, ", "", "bounds.retry_window"),
		Entry("cores below zero", "cpu_cores: 0.4", "cpu_cores: -0.1", "cpu_cores"),
		Entry("a link below zero", "cpu_cores: 0.4", "link_mbps: -1", "link_mbps"),
		Entry("descriptors below zero", "cpu_cores: 0.4", "descriptors: -1", "descriptors"),
		Entry("too much memory to hold", "region: r", "region: r\nheld: {memory_share: 0.6}", "held.memory_share"),
		Entry("refusals below the room of large bodies", "region: r", "region: r\nheld: {refuse_share: 0.5}", "held.refuse_share"),
		Entry("streams that hold less than nothing", "region: r", "region: r\nheld: {stream_kb: -1}", "held.stream_kb"),
		Entry("a negative time", "region: r", "region: r\nheld: {unread_for: -1s}", "held.unread_for"),
		Entry("too much memory for clients", "region: r", "region: r\nclients: {memory_share: 0.6}", "clients.memory_share"),
		Entry("all descriptors for clients", "region: r", "region: r\nclients: {descriptor_share: 1}", "clients.descriptor_share"),
		Entry("too large headers", "region: r", "region: r\nclients: {header_kb: 1025}", "clients.header_kb"),
		Entry("messages below zero", "region: r", "region: r\nclients: {message_kb: -1}", "clients.message_kb"),
		Entry("calls below zero", "region: r", "region: r\nclients: {calls: -1}", "clients.calls"),
		Entry("a negative time for headers", "region: r", "region: r\nclients: {header_timeout: -1s}", "clients.header_timeout"),
		Entry("memory below zero", "memory_mb: 284", "memory_mb: -1", "memory_mb"),
	)
})
