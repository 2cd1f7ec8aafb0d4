package gossiper_test

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// reachableRegions answers calls to peers of the listed regions and fails all others.
type reachableRegions map[string]bool

func (rea reachableRegions) Exchange(_ context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	if !rea[address[:1]] {
		return gossiper.Answer{}, messenger.ErrUnreachable
	}
	return gossiper.Answer{From: req.Callee}, nil
}

func (rea reachableRegions) Snapshot(context.Context, string) (recorder.Snapshot, error) {
	return recorder.Snapshot{}, messenger.ErrUnreachable
}

var _ = Describe("RegionsInSync", func() {
	rows := []struct {
		name    string
		members int
		reached reachableRegions
		heard   int
		all     int
	}{
		{"a full mesh ignores regions", 7, reachableRegions{"a": true}, 1, 1},
		{"an isolated region is in sync with itself only", 60, reachableRegions{"a": true}, 1, 3},
		{"two of three regions are in sync", 60, reachableRegions{"a": true, "b": true}, 2, 3},
		{"all regions are in sync", 60, reachableRegions{"a": true, "b": true, "c": true}, 3, 3},
	}
	for _, row := range rows {
		It(row.name, func() {
			vie := reducer.NewState().View()
			vie.Members = map[string]reducer.Member{}
			for num := range row.members {
				region := string(rune('a' + num%3))
				name := fmt.Sprintf("%s%d", region, num)
				vie.Members[name] = reducer.Member{Member: recorder.Member{Name: name, Incarnation: name, Region: region, RPCAddress: name}}
			}
			quiet := logrus.New()
			quiet.SetOutput(io.Discard)
			clk := clockwork.NewFakeClock()
			gos := gossiper.New(gossiper.Options{State: fixedState{vie: vie}, Peers: row.reached, Clock: clk, Logger: quiet, Interval: time.Second}, "a0")
			gos.PullAll(context.Background())
			heard, all := gos.RegionsInSync(clk.Now().Add(-time.Second))
			Expect(heard).To(Equal(row.heard))
			Expect(all).To(Equal(row.all))
		})
	}
})
