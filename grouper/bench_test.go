package grouper_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
)

// BenchmarkMake makes the plan of a fleet that lost a member of a large group; the leader makes one each 130 ms.
func BenchmarkMake(ben *testing.B) {
	for _, domains := range []int{6, 12, 120} {
		ben.Run(fmt.Sprint(10*domains, " servers"), func(ben *testing.B) {
			RegisterTestingT(ben)
			sce := newScene()
			for dom := range domains {
				sce.group(fmt.Sprint("l", dom), "large", fmt.Sprint("d", dom), false, "open")
				for num := range 3 {
					sce.group(fmt.Sprintf("s%d-%d", dom, num), "small", fmt.Sprint("d", dom), num == 2, "open")
				}
			}
			sce.reg.Remove("l0-3", false)
			sce.pic.View, sce.pic.Formations = sce.reg.View(), sce.frms
			sce.pic.Loads = map[string]grouper.Load{"large": {Slots: 60, InUse: 58}, "small": {Slots: 120, InUse: 60}}
			ben.ReportAllocs()
			for ben.Loop() {
				grouper.NewPlan(sce.pic)
			}
		})
	}
}
