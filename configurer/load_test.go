package configurer_test

import (
	"bytes"
	"strings"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/configurer"
	"github.com/lovagelever/lovagelever/yamlparser"
)

const validSettings = `name: entry-1
availability_zone: howrah
region: kolkata
address: 127.0.0.1:8000
rpc_address: 127.0.0.1:8001
log_address: 127.0.9.1:7000
vm_list_address: 127.0.9.2:7000
weight_store_address: 127.0.9.3:7000
`

var invalidSettings = []struct {
	name  string
	yaml  string
	wants []string
}{
	{"an empty file", "", []string{"f.yaml:1: the file is empty"}},
	{"a list", "- a", []string{"f.yaml:1: must be a mapping"}},
	{"broken syntax", "a: b\nc: [", []string{"f.yaml:2: "}},
	{"two documents", validSettings + "---\na: b\n", []string{"f.yaml:9: must hold one document only"}},
	{"an unknown key", validSettings + "colour: red\n", []string{"f.yaml:9: colour: unknown key"}},
	{"a key twice", validSettings + "name: entry-2\n", []string{"f.yaml:9: name: given before at line 1"}},
	{"no value", validSettings + "log_level:\n", []string{"f.yaml:9: log_level: must have one plain value"}},
	{"a missing key", strings.Replace(validSettings, "region: kolkata\n", "", 1), []string{"f.yaml:1: region: missing"}},
	{"a duration without unit", validSettings + "fresh_for: 3\n", []string{`f.yaml:9: fresh_for: duration "3"`}},
	{"a duration of zero", validSettings + "fresh_for: 0\nqueue_timeout: 0s\n", []string{"f.yaml:9: fresh_for:", "f.yaml:10: queue_timeout:"}},
	{"a host name as address", strings.Replace(validSettings, "127.0.9.1:7000", "log:7000", 1), []string{"f.yaml:6: log_address:"}},
	{"an unknown level and format", validSettings + "log_level: loud\nlog_format: xml\n", []string{"f.yaml:9: log_level:", "f.yaml:10: log_format:"}},
	{"unknown choices", validSettings + "policy: luck\nbalancer: luck\nlimits: some\n", []string{"f.yaml:9: policy:", "f.yaml:10: balancer:", "f.yaml:11: limits:"}},
	{"a count below one", validSettings + "max_body_bytes: 0\n", []string{"f.yaml:9: max_body_bytes:"}},
	{"one address for two listeners", strings.Replace(validSettings, ":8001", ":8000", 1), []string{"f.yaml:5: rpc_address: must differ from address"}},
	{"one advertised address for two", validSettings + "advertise_address: 127.0.0.1:8001\n", []string{"f.yaml:9: advertise_rpc_address: must differ from advertise_address"}},
	{"an address for all interfaces that is given out", strings.Replace(validSettings, "127.0.0.1:8000", "0.0.0.0:8000", 1), []string{"f.yaml:4: advertise_address:"}},
	{"contradicting durations", validSettings + "probe_interval: 4s\nqueue_timeout: 2m\n", []string{"f.yaml:9: probe_interval: 4s must not be above fresh_for", "f.yaml:9: probe_interval: 4s must not be above suspect_after", "f.yaml:10: queue_timeout:"}},
	{"several faults", "name: A B\nspeed: 1\n", []string{"f.yaml:1: name:", "f.yaml:2: speed:", "f.yaml:1: region: missing", "f.yaml:1: log_address: missing"}},
}

var _ = Describe("Parse", func() {
	It("sets defaults for missing keys", func() {
		set, err := configurer.Parse("f.yaml", []byte(validSettings+"queue_timeout: 1500ms\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.QueueTimeout).To(Equal(1500 * time.Millisecond))
		Expect(set.OutcomeWindow).To(Equal(5 * time.Minute))
		Expect(set.MaxBodyBytes).To(Equal(1 << 20))
		Expect(set.AdvertiseRPCAddress).To(Equal("127.0.0.1:8001"))
		Expect(set.LogFormat).To(Equal("text"))
		Expect([]string{set.Policy, set.Balancer, set.Limits}).To(Equal([]string{"spare_first", "affinity", "home"}))
	})
	It("parses the output of Print to the same settings", func() {
		set, err := configurer.Parse("f.yaml", []byte(validSettings+"advertise_address: 10.0.0.1:80\n"))
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(configurer.Print(&out, set)).To(Succeed())
		again, err := configurer.Parse("f.yaml", out.Bytes())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(set))
	})
	for _, cas := range invalidSettings {
		It("rejects "+cas.name, func() {
			_, err := configurer.Parse("f.yaml", []byte(cas.yaml))
			Expect(errors.HasType[yamlparser.Problems](err)).To(BeTrue())
			for _, want := range cas.wants {
				Expect(err.Error()).To(ContainSubstring(want))
			}
			if cas.name != "several faults" {
				Expect(strings.Split(err.Error(), "\n")).To(HaveLen(len(cas.wants)))
			}
		})
	}
})
