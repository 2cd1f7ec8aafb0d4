package grouper_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
)

// BenchmarkPlan plans for a fleet that lost a member of a large group. The leader makes a plan every 130 ms.
func BenchmarkPlan(ben *testing.B) {
	for _, domains := range []int{6, 12, 120} {
		ben.Run(fmt.Sprint(10*domains, " servers"), func(ben *testing.B) {
			RegisterTestingT(ben)
			fix := newFixture()
			for dom := range domains {
				fix.addGroup(fmt.Sprint("l", dom), "large", fmt.Sprint("d", dom), false, "open")
				for num := range 3 {
					fix.addGroup(fmt.Sprintf("s%d-%d", dom, num), "small", fmt.Sprint("d", dom), num == 2, "open")
				}
			}
			fix.reg.Remove("l0-3", false)
			fix.inp.View, fix.inp.Formations = fix.reg.View(), fix.frms
			fix.inp.Loads = map[string]grouper.Load{"large": {Slots: 60, InUse: 58}, "small": {Slots: 120, InUse: 60}}
			ben.ReportAllocs()
			for ben.Loop() {
				grouper.NewPlan(fix.inp)
			}
		})
	}
}
