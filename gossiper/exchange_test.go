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

// circle is a ring of entries that are driven round by round, and counts the facts told.
type circle struct {
	names   []string
	entries map[string]*gossiper.Gossiper
	states  map[string]*movedState
	told    int
	cut     map[[2]string]bool
}

// movedState is a state whose view the test changes.
type movedState struct {
	fixedState
	clk clockwork.Clock
}

func (sta *movedState) View() *reducer.View { return sta.vie }
func (sta *movedState) Contact() time.Time  { return sta.clk.Now() }

// calls are the calls that one entry of a circle makes.
type calls struct {
	cir  *circle
	from string
}

func (cal calls) Exchange(_ context.Context, address string, req gossiper.Request) (gossiper.Answer, error) {
	if cal.cir.cut[[2]string{cal.from, address}] {
		return gossiper.Answer{}, io.EOF
	}
	ans := cal.cir.entries[address].Exchange(req)
	cal.cir.told += len(ans.Facts)
	return ans, nil
}

func (cal calls) Snapshot(context.Context, string) (recorder.Snapshot, error) {
	return recorder.Snapshot{}, io.EOF
}

func newCircle(size int) *circle {
	cir := &circle{entries: map[string]*gossiper.Gossiper{}, states: map[string]*movedState{}, cut: map[[2]string]bool{}}
	vie := reducer.NewState().View()
	vie.Members = map[string]reducer.Member{}
	for num := range size {
		name := "e" + strconv.Itoa(num)
		cir.names = append(cir.names, name)
		vie.Members[name] = reducer.Member{Member: recorder.Member{Name: name, Incarnation: name, RPCAddress: name}}
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	clk := clockwork.NewFakeClock()
	for _, name := range cir.names {
		cir.states[name] = &movedState{fixedState: fixedState{vie: vie}, clk: clk}
		cir.entries[name] = gossiper.New(gossiper.Options{
			State: cir.states[name], Peers: calls{cir: cir, from: name}, Clock: clk, Logger: quiet, Interval: time.Second,
		}, name)
	}
	return cir
}

func (cir *circle) round() {
	for _, name := range cir.names {
		cir.entries[name].Round(context.Background())
	}
}

// only cuts e0 from all entries but one.
func (cir *circle) only(peer string) {
	for _, oth := range cir.names {
		cir.cut[[2]string{"e0", oth}] = oth != peer
	}
}

var _ = Describe("an exchange on a ring", func() {
	It("tells each entry a fact once", func() {
		cir := newCircle(40)
		cir.round()
		cir.entries["e7"].Set("one", []byte("first"))
		for range 8 {
			cir.round()
		}
		Expect(cir.told).To(Equal(39))
		for _, gos := range cir.entries {
			got, _ := gos.Get("one", "e7")
			Expect(string(got)).To(Equal("first"), gos.Self())
		}
		cir.entries["e7"].Set("one", []byte("second"))
		for range 8 {
			cir.round()
		}
		Expect(cir.told).To(Equal(2 * 39))
	})

	It("does not tell what the asker named in an earlier request", func() {
		cir := newCircle(40)
		asker := cir.entries["e0"]
		early, late := asker.Fingers()[0], asker.Fingers()[1]
		cir.entries[early].Set("one", []byte("body"))
		cir.only(early)
		asker.Round(context.Background())
		cir.only(late)
		asker.Round(context.Background())
		asker.Round(context.Background())
		path := wayTo(cir, early, late)
		for at := len(path) - 2; at >= 0; at-- {
			cir.entries[path[at]].Round(context.Background())
		}
		_, known := cir.entries[late].Get("one", early)
		Expect(known).To(BeTrue())
		before := cir.told
		asker.Round(context.Background())
		Expect(cir.told).To(Equal(before))
	})

	It("is not level with a peer while it does not know the origin of a fact", func() {
		cir := newCircle(40)
		asker := cir.entries["e0"]
		peer := asker.Fingers()[2]
		ahead := cir.states[peer].vie
		behind := *ahead
		behind.Members = maps.Clone(ahead.Members)
		delete(behind.Members, "e39")
		next := *ahead
		next.Offset++
		cir.states[peer].vie = &next
		cir.states["e0"].vie = &behind
		Expect(asker.Fingers()).To(ContainElement(peer))
		cir.entries["e39"].Set("one", []byte("body"))
		cir.only(peer)
		for range 8 {
			for _, name := range cir.names[1:] {
				cir.entries[name].Round(context.Background())
			}
		}
		asker.Round(context.Background())
		_, known := asker.Get("one", "e39")
		Expect(known).To(BeFalse())
		cir.states["e0"].vie = &next
		asker.Round(context.Background())
		_, known = asker.Get("one", "e39")
		Expect(known).To(BeTrue())
	})

	It("names again what it holds after an answer that was cut short", func() {
		cir := newCircle(40)
		asker := cir.entries["e0"]
		one, two := asker.Fingers()[0], asker.Fingers()[1]
		fill := func(name string) {
			for num := range 600 {
				cir.entries[name].Set("of-"+strconv.Itoa(num), []byte(name))
			}
		}
		fill(two)
		fill(one)
		path := wayTo(cir, one, two)
		for range 3 {
			for at := len(path) - 2; at >= 0; at-- {
				cir.entries[path[at]].Round(context.Background())
			}
		}
		Expect(cir.entries[two].All("of-")).To(HaveLen(1200))
		cir.only(one)
		asker.Round(context.Background())
		asker.Round(context.Background())
		cir.only(two)
		before := cir.told
		for range 4 {
			asker.Round(context.Background())
		}
		Expect(asker.All("of-")).To(HaveLen(1200))
		Expect(cir.told - before).To(Equal(600))
	})

	It("passes facts on though a third of the ways is cut", func() {
		cir := newCircle(60)
		for num, name := range cir.names {
			for oth, peer := range cir.names {
				cir.cut[[2]string{name, peer}] = (num+2*oth)%3 == 0
			}
		}
		for _, name := range cir.names {
			cir.entries[name].Set("of", []byte(name))
		}
		for range 12 {
			cir.round()
		}
		for _, gos := range cir.entries {
			Expect(gos.All("of")).To(HaveLen(60), gos.Self())
		}
	})
})

// wayTo is a way over fingers from the entry that is to learn to the one that knows, beginning with the one that learns.
func wayTo(cir *circle, knows, learns string) []string {
	ways := [][]string{{learns}}
	for len(ways) > 0 {
		way := ways[0]
		ways = ways[1:]
		last := way[len(way)-1]
		if last == knows {
			return way
		}
		for _, next := range cir.entries[last].Fingers() {
			if next != "e0" && !slices.Contains(way, next) {
				ways = append(ways, append(slices.Clone(way), next))
			}
		}
	}
	return nil
}
