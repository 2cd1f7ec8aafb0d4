package loader_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/loader"
)

const (
	one  = `data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n"
	two  = `data: {"choices":[{"delta":{"content":"b"},"finish_reason":null}]}` + "\n\n"
	stop = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	done = "data: [DONE]\n\n"
)

var streams = []struct {
	name string
	body string
	want string
}{
	{"a complete answer", one + two + stop + done, loader.OutcomeComplete},
	{"no end marker", one + two + stop, loader.OutcomeBroken},
	{"no finish reason", one + two + done, loader.OutcomeBroken},
	{"a missing token", one + stop + done, loader.OutcomeBroken},
	{"a token twice", one + one + two + stop + done, loader.OutcomeBroken},
	{"tokens in the wrong order", two + one + stop + done, loader.OutcomeBroken},
	{"an error event in the stream", one + `data: {"error":{"type":"outcome_unknown"}}` + "\n\n", loader.OutcomeBroken},
	{"an empty body", "", loader.OutcomeBroken},
}

var _ = Describe("StreamChecker", func() {
	for _, cas := range streams {
		It("reads "+cas.name, func() {
			str := loader.StreamChecker{Want: []string{"a", "b"}}
			Expect(str.Read(strings.NewReader(cas.body))).To(Equal(cas.want))
		})
	}
})

var _ = Describe("Summarize", func() {
	It("counts by label and finds the worst second", func() {
		var sams []loader.Sample
		for num := range 10 {
			sam := loader.Sample{Kind: "fetch", Outcome: loader.OutcomeComplete, Duration: time.Duration(num) * time.Millisecond}
			if num >= 5 {
				sam.At, sam.Kind = time.Second, "compose"
			}
			if num == 9 {
				sam.Outcome = "not_run"
			}
			sams = append(sams, sam)
		}
		sums := loader.Summarize(sams, 2*time.Second, func(sam loader.Sample) string { return sam.Kind })
		Expect(sums).To(HaveLen(3))
		Expect(sums[0].InTime).To(Equal(9))
		Expect(sums[0].WorstSecond).To(Equal(0.8))
		Expect(sums[1].Outcomes).To(Equal(map[string]int{"whole": 4, "not_run": 1}))
		Expect(sums[2].P99).To(Equal(4.0))
	})
})
