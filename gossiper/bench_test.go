package gossiper_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"github.com/lovagelever/lovagelever/gossiper"
)

// BenchmarkExchange measures the time of one answer by the number of entries and the number of facts new to the requester.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{7, 14, 28, 56, 130, 390} {
		for _, fresh := range []int{0, 4} {
			b.Run(fmt.Sprintf("entries=%d/new=%d", size, fresh), func(b *testing.B) {
				rin := newTestRing(size)
				gos := rin.entries["e0"]
				for num := range scaleToSize(targetVMs+targetUnits+2*targetEntries, size) {
					gos.Set("of-"+strconv.Itoa(num), body(150))
				}
				req := gossiper.Request{From: "e1", Callee: "e0", Relay: size > 16}
				for req.Cursor == 0 || len(gos.Exchange(req).Facts) > 0 {
					req.Cursor = gos.Exchange(req).Cursor
				}
				for num := range fresh {
					gos.Set("of-"+strconv.Itoa(num), body(150))
				}
				b.ReportAllocs()
				for b.Loop() {
					gos.Exchange(req)
				}
			})
		}
	}
}

// BenchmarkPull measures a round of idle pulls including the answers, and reports the time per pull.
func BenchmarkPull(b *testing.B) {
	for _, size := range []int{7, 14, 28, 56, 130, 390} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			rin := newTestRing(size)
			for _, gos := range rin.entries {
				for num := range scaleToSize(targetVMs+targetUnits+2*targetEntries, size) / size {
					gos.Set("of-"+strconv.Itoa(num), body(150))
				}
			}
			for range 10 {
				rin.round()
			}
			gos := rin.entries["e0"]
			b.ReportAllocs()
			for b.Loop() {
				gos.PullAll(context.Background())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(gos.PullPeers())), "ns/pull")
		})
	}
}
