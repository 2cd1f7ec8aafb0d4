package reducer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// BenchmarkFold measures applying a typical daily mix of records: 90% claims, 8% publications, and 2% pairs of a join and a leave.
func BenchmarkFold(b *testing.B) {
	for _, vms := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			fee := newFeed()
			members := populate(fee, vms)
			for num := 0; b.Loop(); num++ {
				applyTypicalRecord(fee, members, num)
			}
		})
	}
}

// populate joins a third as many members as there are VMs, publishes a catalog, and returns the incarnations.
func populate(fee *feed, vms int) []string {
	var members []string
	for num := range vms / 3 {
		members = append(members, fee.join("e"+strconv.Itoa(num), "zone-"+strconv.Itoa(num%10)))
	}
	if rea := fee.publish(newCatalog(10, vms/10/30, 30, 30)); rea != reducer.Accepted {
		panic(rea)
	}
	return members
}

func applyTypicalRecord(fee *feed, members []string, num int) {
	switch {
	case num%100 < 90:
		claim := recorder.Claim{Key: strconv.Itoa(num), IssuedMS: fee.now.UnixMilli()}
		fee.applyNew(recorder.KindClaims, members[0], recorder.Claims{Claims: []recorder.Claim{claim}})
	case num%100 < 98:
		next := fee.sta.Catalog
		next.Rules.Workspaces = map[string]cataloger.WorkspaceRule{}
		fee.publish(next)
	default:
		inc := fee.join("x"+strconv.Itoa(num%7), "zone-1")
		fee.applyNew(recorder.KindLeave, inc, recorder.Departure{Incarnation: inc})
	}
}

// BenchmarkSnapshot measures encoding the state and reports the size of the compressed snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, vms := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			fee := newFeed()
			populate(fee, vms)
			size := 0
			for b.Loop() {
				sna, err := fee.sta.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(sna.State)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkView measures building the view that readers get after each batch of records.
func BenchmarkView(b *testing.B) {
	for _, vms := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			fee := newFeed()
			populate(fee, vms)
			for b.Loop() {
				fee.sta.View()
			}
		})
	}
}
