package scaler_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/scaler"
)

const results = `{"entries":7,"engines":60,"core_share":0.02}
{"entries":7,"engines":60,"victim":"entry-7","evicted_seconds":3.5}
{"entries":14,"engines":120,"core_share":0.04}
`

var _ = Describe("LoadPoints", func() {
	It("merges the parts of a size", func() {
		name := filepath.Join(GinkgoT().TempDir(), "scale.jsonl")
		Expect(os.WriteFile(name, []byte(results), 0o600)).To(Succeed())
		pois, err := scaler.LoadPoints(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(pois).To(HaveLen(2))
		Expect(pois[0].CoreShare).To(Equal(0.02))
		Expect(pois[0].Evicted).To(Equal(3.5))
		Expect(pois[1].Entries).To(Equal(14))
	})
})
