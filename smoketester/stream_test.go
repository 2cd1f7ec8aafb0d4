package smoketester

import (
	"strings"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	first  = `data: {"id": "r1", "index": 0, "choices": [{"delta": {"content": "a "}, "finish_reason": null}]}` + "\n\n"
	second = `data: {"id": "r1", "index": 1, "choices": [{"delta": {"content": "b "}, "finish_reason": null}]}` + "\n\n"
	last   = `data: {"id": "r1", "index": 2, "choices": [{"delta": {"content": "c"}, "finish_reason": "stop"}], "usage": {"completion_tokens": 3}}` + "\n\n"
	empty  = `data: {"id": "r1", "index": 2, "choices": [{"delta": {}, "finish_reason": "stop"}], "usage": {"completion_tokens": 2}}` + "\n\n"
	end    = "data: [DONE]\n\n"
)

var streams = []struct {
	name  string
	body  string
	whole bool
}{
	{"with a token in the last chunk", first + second + last + end, true},
	{"with an empty last chunk", first + second + empty + end, true},
	{"without the end marker", first + second + last, false},
	{"without the last chunk", first + second + end, false},
	{"without tokens", end, false},
	{"with a gap", first + last + end, false},
	{"with a token twice", first + first + second + last + end, false},
	{"of another request", first + strings.Replace(second, "r1", "r2", 1) + last + end, false},
	{"with an event after the end marker", first + second + last + end + end, false},
	{"with a chunk after the last one", first + second + empty + last + end, false},
	{"with a wrong token count in usage", first + second + strings.Replace(last, `tokens": 3`, `tokens": 4`, 1) + end, false},
	{"without usage", first + second + strings.Replace(last, `"usage"`, `"other"`, 1) + end, false},
	{"that ends at the length limit", first + second + strings.Replace(last, "stop", "length", 1) + end, false},
	{"with invalid JSON", first + "data: {\n\n" + end, false},
}

var _ = Describe("readStream", func() {
	for _, cas := range streams {
		It("checks a stream "+cas.name, func() {
			ans, err := readStream(strings.NewReader(cas.body), "r1")
			if cas.whole {
				Expect(err).NotTo(HaveOccurred())
				Expect(ans.text.String()).To(HavePrefix("a b "))
				return
			}
			Expect(errors.Is(err, ErrIncomplete)).To(BeTrue(), "%v", err)
		})
	}
})
