package gossiper_test

import (
	"context"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// testRing is a ring of entries that pull round by round; it counts the facts sent.
type testRing struct {
	names   []string
	entries map[string]*gossiper.Gossiper
	states  map[string]*mutableState
	sent    int
	blocked map[[2]string]bool
}

// mutableState is a state whose view the test replaces.
type mutableState struct {
	fixedState
	clk clockwork.Clock
}

func (sta *mutableState) View() *reducer.View    { return sta.vie }
func (sta *mutableState) LastContact() time.Time { return sta.clk.Now() }

// peerClient makes the calls of one entry of a test ring.
type peerClient struct {
	rin  *testRing
	from string
}

func (cli peerClient) Exchange(_ context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	if cli.rin.blocked[[2]string{cli.from, address}] {
		return gossiper.Answer{}, io.EOF
	}
	ans := cli.rin.entries[address].Exchange(req)
	cli.rin.sent += len(ans.Facts)
	return ans, nil
}

func (cli peerClient) Snapshot(context.Context, string) (recorder.Snapshot, error) {
	return recorder.Snapshot{}, io.EOF
}

func newTestRing(size int) *testRing {
	rin := &testRing{entries: map[string]*gossiper.Gossiper{}, states: map[string]*mutableState{}, blocked: map[[2]string]bool{}}
	vie := reducer.NewState().View()
	vie.Members = map[string]reducer.Member{}
	for num := range size {
		name := "e" + strconv.Itoa(num)
		rin.names = append(rin.names, name)
		vie.Members[name] = reducer.Member{Member: recorder.Member{Name: name, Incarnation: name, RPCAddress: name}}
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	clk := clockwork.NewFakeClock()
	for _, name := range rin.names {
		rin.states[name] = &mutableState{fixedState: fixedState{vie: vie}, clk: clk}
		rin.entries[name] = gossiper.New(gossiper.Options{
			State: rin.states[name], Peers: peerClient{rin: rin, from: name}, Clock: clk, Logger: quiet, Interval: time.Second,
		}, name)
	}
	return rin
}

func (rin *testRing) round() {
	for _, name := range rin.names {
		rin.entries[name].PullAll(context.Background())
	}
}

// isolateExcept blocks the calls of e0 to all entries but one.
func (rin *testRing) isolateExcept(peer string) {
	for _, oth := range rin.names {
		rin.blocked[[2]string{"e0", oth}] = oth != peer
	}
}

var _ = Describe("an exchange on a ring", func() {
	It("sends each entry a fact once", func() {
		rin := newTestRing(40)
		rin.round()
		rin.entries["e7"].Set("one", []byte("first"))
		for range 8 {
			rin.round()
		}
		Expect(rin.sent).To(Equal(39))
		for _, gos := range rin.entries {
			got, _ := gos.Get("one", "e7")
			Expect(string(got)).To(Equal("first"), gos.Self())
		}
		rin.entries["e7"].Set("one", []byte("second"))
		for range 8 {
			rin.round()
		}
		Expect(rin.sent).To(Equal(2 * 39))
	})

	It("does not send facts whose fingerprints were in an earlier request", func() {
		rin := newTestRing(40)
		requester := rin.entries["e0"]
		early, late := requester.PullPeers()[0], requester.PullPeers()[1]
		rin.entries[early].Set("one", []byte("body"))
		rin.isolateExcept(early)
		requester.PullAll(context.Background())
		rin.isolateExcept(late)
		requester.PullAll(context.Background())
		requester.PullAll(context.Background())
		path := pullPath(rin, early, late)
		for at := len(path) - 2; at >= 0; at-- {
			rin.entries[path[at]].PullAll(context.Background())
		}
		_, known := rin.entries[late].Get("one", early)
		Expect(known).To(BeTrue())
		before := rin.sent
		requester.PullAll(context.Background())
		Expect(rin.sent).To(Equal(before))
	})

	It("does not advance the cursor while the origin of a fact is not a known member", func() {
		rin := newTestRing(40)
		requester := rin.entries["e0"]
		peer := requester.PullPeers()[2]
		ahead := rin.states[peer].vie
		behind := *ahead
		behind.Members = maps.Clone(ahead.Members)
		delete(behind.Members, "e39")
		next := *ahead
		next.Offset++
		rin.states[peer].vie = &next
		rin.states["e0"].vie = &behind
		Expect(requester.PullPeers()).To(ContainElement(peer))
		rin.entries["e39"].Set("one", []byte("body"))
		rin.isolateExcept(peer)
		for range 8 {
			for _, name := range rin.names[1:] {
				rin.entries[name].PullAll(context.Background())
			}
		}
		requester.PullAll(context.Background())
		_, known := requester.Get("one", "e39")
		Expect(known).To(BeFalse())
		rin.states["e0"].vie = &next
		requester.PullAll(context.Background())
		_, known = requester.Get("one", "e39")
		Expect(known).To(BeTrue())
	})

	It("sends fingerprints again after a truncated answer", func() {
		rin := newTestRing(40)
		requester := rin.entries["e0"]
		one, two := requester.PullPeers()[0], requester.PullPeers()[1]
		fill := func(name string) {
			for num := range 600 {
				rin.entries[name].Set("of-"+strconv.Itoa(num), []byte(name))
			}
		}
		fill(two)
		fill(one)
		path := pullPath(rin, one, two)
		for range 3 {
			for at := len(path) - 2; at >= 0; at-- {
				rin.entries[path[at]].PullAll(context.Background())
			}
		}
		Expect(rin.entries[two].All("of-")).To(HaveLen(1200))
		rin.isolateExcept(one)
		requester.PullAll(context.Background())
		requester.PullAll(context.Background())
		rin.isolateExcept(two)
		before := rin.sent
		for range 4 {
			requester.PullAll(context.Background())
		}
		Expect(requester.All("of-")).To(HaveLen(1200))
		Expect(rin.sent - before).To(Equal(600))
	})

	It("spreads facts although a third of the connections is blocked", func() {
		rin := newTestRing(60)
		for num, name := range rin.names {
			for oth, peer := range rin.names {
				rin.blocked[[2]string{name, peer}] = (num+2*oth)%3 == 0
			}
		}
		for _, name := range rin.names {
			rin.entries[name].Set("of", []byte(name))
		}
		for range 12 {
			rin.round()
		}
		for _, gos := range rin.entries {
			Expect(gos.All("of")).To(HaveLen(60), gos.Self())
		}
	})
})

// pullPath returns a path along pull peers, without e0, that begins with the entry that is to receive a fact and ends with
// the one that has it.
func pullPath(rin *testRing, source, target string) []string {
	paths := [][]string{{target}}
	for len(paths) > 0 {
		path := paths[0]
		paths = paths[1:]
		last := path[len(path)-1]
		if last == source {
			return path
		}
		for _, next := range rin.entries[last].PullPeers() {
			if next != "e0" && !slices.Contains(path, next) {
				paths = append(paths, append(slices.Clone(path), next))
			}
		}
	}
	return nil
}
