package reducer_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// BenchmarkFold folds a day's mix of records: claims, publications of one VM, joins and leaves.
func BenchmarkFold(b *testing.B) {
	for _, vms := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			fee := newFeed()
			members := grown(fee, vms)
			for num := 0; b.Loop(); num++ {
				dailyRecord(fee, members, num)
			}
		})
	}
}

// grown is a state with the VMs and a third as many entries.
func grown(fee *feed, vms int) []string {
	var members []string
	for num := range vms / 3 {
		members = append(members, fee.join("e"+strconv.Itoa(num), "zone-"+strconv.Itoa(num%10)))
	}
	if rea := fee.publish(plant(10, vms/10/30, 30, 30)); rea != reducer.Accepted {
		panic(rea)
	}
	return members
}

func dailyRecord(fee *feed, members []string, num int) {
	switch {
	case num%100 < 90:
		key := recorder.Claim{Key: strconv.Itoa(num), IssuedMS: fee.now.UnixMilli()}
		fee.do(recorder.KindClaims, members[0], recorder.Claims{Claims: []recorder.Claim{key}})
	case num%100 < 98:
		next := fee.sta.Catalog
		next.Rules.Workspaces = map[string]cataloger.WorkspaceRule{}
		fee.publish(next)
	default:
		inc := fee.join("x"+strconv.Itoa(num%7), "zone-1")
		fee.do(recorder.KindLeave, inc, recorder.Departure{Incarnation: inc})
	}
}

// BenchmarkSnapshot encodes the state, and reports its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, vms := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			fee := newFeed()
			grown(fee, vms)
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

// BenchmarkView copies the state for readers, once for each batch of records.
func BenchmarkView(b *testing.B) {
	for _, vms := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			fee := newFeed()
			grown(fee, vms)
			for b.Loop() {
				fee.sta.View()
			}
		})
	}
}
