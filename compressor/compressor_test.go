package compressor_test

import (
	"bytes"
	"math/rand/v2"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/compressor"
)

func random(num int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, num)
	for pos := range out {
		out[pos] = byte(rng.Uint32())
	}
	return out
}

var _ = Describe("Compressor", func() {
	text := bytes.Repeat([]byte(`{"path_prefix":"/a/"}`), 1000)
	cases := []struct {
		name  string
		value []byte
		ok    bool
	}{
		{"a removal", nil, false},
		{"a small value", text[:100], false},
		{"a large value", text, true},
		{"a large value that cannot be compressed", random(8192), false},
	}
	for _, cas := range cases {
		It("sends "+cas.name+" in the smaller form", func() {
			data, ok := compressor.New().Compress("k", cas.value)
			Expect(ok).To(Equal(cas.ok))
			if !ok {
				return
			}
			Expect(len(data)).To(BeNumerically("<", len(cas.value)))
			Expect(compressor.Decompress(data)).To(Equal(cas.value))
		})
	}

	It("compresses each value of a key", func() {
		com := compressor.New()
		for last := range byte(3) {
			value := append(bytes.Clone(text), last)
			for range 2 {
				data, ok := com.Compress("k", value)
				Expect(ok).To(BeTrue())
				Expect(compressor.Decompress(data)).To(Equal(value))
			}
		}
	})

	It("rejects data that is damaged or too large", func() {
		large, ok := compressor.New().Compress("k", make([]byte, 17<<20))
		Expect(ok).To(BeTrue())
		for _, data := range [][]byte{{1, 2, 3}, large[:100], large} {
			_, err := compressor.Decompress(data)
			Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
		}
	})
})
