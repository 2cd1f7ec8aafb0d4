package gossiper_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

type fixedState struct {
	vie *reducer.View
}

func (sta fixedState) View() *reducer.View                             { return sta.vie }
func (sta fixedState) Changed() <-chan struct{}                        { return nil }
func (sta fixedState) LastContact() time.Time                          { return time.Time{} }
func (sta fixedState) Tail(int64, int) ([]recorder.Entry, bool)        { return nil, true }
func (sta fixedState) ApplyRelayed([]recorder.Entry, int64, time.Time) {}
func (sta fixedState) InstallSnapshot(recorder.Snapshot) error         { return nil }

var _ = Describe("PeersInSync", func() {
	It("does not count a peer because of its request, which may have been queued", func() {
		clk := clockwork.NewRealClock()
		vie := reducer.NewState().View()
		vie.Members = map[string]reducer.Member{"one": {Member: recorder.Member{Name: "entry-1", Incarnation: "one"}}, "two": {Member: recorder.Member{Name: "entry-2", Incarnation: "two"}}}
		gos := gossiper.New(gossiper.Options{
			State:    fixedState{vie: vie},
			Clock:    clk,
			Logger:   logrus.New(),
			Interval: time.Second,
		}, "one")
		before := clk.Now()
		gos.Exchange(gossiper.Request{From: "two", Callee: "one"})
		Expect(gos.LastHeard("two")).To(BeTemporally(">=", before))
		heard, peers := gos.PeersInSync(before)
		Expect(heard).To(BeZero())
		Expect(peers).To(Equal(1))
	})
})
