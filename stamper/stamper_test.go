package stamper_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/stamper"
)

func TestStamper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stamper")
}

var _ = DescribeTable("Stamper", func(sent, asked uint64, known bool, age time.Duration) {
	clk := clockwork.NewFakeClock()
	sta := stamper.New(clk)
	for seq := uint64(1); seq <= sent; seq++ {
		sta.Stamp(seq)
		clk.Advance(100 * time.Millisecond)
	}
	got, ok := sta.Age(asked)
	Expect(ok).To(Equal(known))
	if known {
		Expect(got).To(Equal(age))
	}
},
	Entry("the last message", uint64(300), uint64(300), true, 100*time.Millisecond),
	Entry("one of 2 s ago", uint64(300), uint64(281), true, 2*time.Second),
	Entry("one that was replaced", uint64(300), uint64(40), false, time.Duration(0)),
	Entry("one that was not sent", uint64(3), uint64(4), false, time.Duration(0)),
	Entry("none", uint64(0), uint64(0), false, time.Duration(0)),
)
