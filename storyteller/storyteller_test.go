package storyteller_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/storyteller"
)

func TestStoryteller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storyteller")
}

const logs = `not a line
{"entry":"e1","seq":5,"msg":"request refused","request":"r1","why":"all attempts are used","time":"2026-12-04T00:00:02Z"}
{"entry":"e1","seq":4,"msg":"stream resumed elsewhere","request":"r1","unit":"i-1@7/g3","time":"2026-12-04T00:00:05Z"}
{"entry":"e1","seq":7,"msg":"stream is silent, requesting it from a second unit","request":"r3","unit":"i-8@7/g8","second_unit":"i-9@7/g4","time":"2026-12-04T00:00:02Z"}
{"entry":"e1","seq":3,"msg":"backend server does not answer","server":"i-1","time":"2026-12-04T00:00:01Z"}
{"entry":"e1","seq":2,"msg":"unit changed","unit":"i-9@7/g4","time":"2026-12-04T00:00:01Z"}
{"entry":"e1","seq":1,"msg":"store lost","time":"2026-12-04T00:00:01Z"}
{"entry":"e2","seq":9,"msg":"store lost","time":"2026-12-04T00:00:01Z"}
{"entry":"e1","seq":6,"msg":"request refused","request":"r2","time":"2026-12-04T00:00:02Z"}
  12.5 e1 {"entry":"e1","seq":8,"msg":"group dissolved","group":"g3","time":"2026-12-04T00:00:03Z"}
`

var _ = Describe("the history of a request", func() {
	It("orders the lines about a request and its units by sequence number even if the clock jumped", func() {
		all, err := storyteller.Read(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		var messages []string
		for _, lin := range storyteller.RequestHistory(all, "r1") {
			messages = append(messages, lin.Message)
		}
		Expect(messages).To(Equal([]string{"store lost", "backend server does not answer", "stream resumed elsewhere", "request refused", "group dissolved"}))
	})

	It("includes lines about the unit that a silent stream was hedged to", func() {
		all, err := storyteller.Read(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		var messages []string
		for _, lin := range storyteller.RequestHistory(all, "r3") {
			messages = append(messages, lin.Message)
		}
		Expect(messages).To(Equal([]string{"store lost", "unit changed", "stream is silent, requesting it from a second unit"}))
	})

	It("returns nothing for a request without lines", func() {
		all, err := storyteller.Read(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		Expect(storyteller.RequestHistory(all, "r9")).To(BeEmpty())
	})

	It("writes one line of text for each log line", func() {
		all, err := storyteller.Read(strings.NewReader(logs))
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(storyteller.Write(&out, storyteller.RequestHistory(all, "r2"))).To(Succeed())
		Expect(out.String()).To(ContainSubstring("e1: request refused request=r2"))
	})
})
