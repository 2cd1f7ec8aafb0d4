package nominator_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/nominator"
)

const step = 400 * time.Millisecond

// cluster is a set of entries that learn of each other's state after a step.
type cluster struct {
	clk   *clockwork.FakeClock
	list  []nominator.Candidate
	known []nominator.Candidate
	noms  map[string]*nominator.Nominator
	down  map[string]bool
}

// newCluster returns entries in five zones, of which the first three of each have more cores.
func newCluster(entries int) *cluster {
	clu := &cluster{clk: clockwork.NewFakeClock(), noms: map[string]*nominator.Nominator{}, down: map[string]bool{}}
	for num := range entries {
		can := nominator.Candidate{Name: fmt.Sprint("e", num), Zone: fmt.Sprint("z", num%5), Cores: 0.192}
		if num < 15 {
			can.Cores = 0.8
		}
		clu.list = append(clu.list, can)
		clu.noms[can.Name] = nominator.New(nominator.Options{
			Self: can.Name, Clock: clu.clk, Step: func() time.Duration { return step },
			Candidates: func() []nominator.Candidate { return clu.known },
		})
	}
	return clu
}

// play lets time pass, and returns the largest number of entries that read at once and those that read at the end.
func (clu *cluster) play(last time.Duration) (most int, reading []nominator.Candidate) {
	for at := time.Duration(0); at < last; at += step / 2 {
		reading = nil
		var now []nominator.Candidate
		for _, can := range clu.list {
			if clu.down[can.Name] {
				continue
			}
			can.Reads = clu.noms[can.Name].Reads()
			if can.Reads {
				reading = append(reading, can)
			}
			now = append(now, can)
		}
		most = max(most, len(reading))
		if at%step == 0 {
			clu.known = now
		}
		clu.clk.Advance(step / 2)
	}
	return most, reading
}

var _ = Describe("Nominator", func() {
	// Guards against the leader's lease being lost before traffic: all of 195 entries read the store and asked for the lease at the start, those with the least processor time among them.
	It("has two entries with the most cores, of different zones, read the store", func() {
		for _, entries := range []int{7, 67, 195, 390} {
			clu := newCluster(entries)
			clu.known = clu.list
			most, reading := clu.play(6 * step)
			Expect(reading).To(HaveLen(nominator.Readers))
			Expect(most).To(Equal(nominator.Readers))
			Expect(reading[0].Zone).NotTo(Equal(reading[1].Zone))
			for _, can := range reading {
				Expect(can.Cores).To(Equal(0.8))
			}
		}
	})

	It("ranks entries that do not reach all services after all others, for themselves as well", func() {
		for _, entries := range []int{7, 67, 195, 390} {
			clu := newCluster(entries)
			clu.known = slices.Clone(clu.list)
			_, reading := clu.play(6 * step)
			lost := map[string]bool{}
			for num, can := range clu.known {
				if can.Name == reading[0].Name || can.Name == reading[1].Name {
					clu.known[num].Last, lost[can.Name] = true, true
				}
			}
			clu.clk.Advance(step)
			for _, can := range clu.known {
				for _, name := range clu.noms[can.Name].First() {
					Expect(lost).NotTo(HaveKey(name))
				}
				if lost[can.Name] {
					Expect(clu.noms[can.Name].Preferred()).To(BeNumerically(">=", entries-len(lost)))
				}
			}
		}
	})

	// Guards against all entries reading the store at once when its two readers fail together.
	It("has a few entries step in when both readers fail and are still counted as live", func() {
		for _, entries := range []int{7, 67, 195, 390} {
			clu := newCluster(entries)
			clu.known = clu.list
			_, reading := clu.play(6 * step)
			alive := clu.known
			for _, can := range reading {
				clu.down[can.Name] = true
			}
			clu.known = nil
			for _, can := range alive {
				can.Reads = false
				clu.known = append(clu.known, can)
			}
			most, began := 0, time.Duration(0)
			for at := time.Duration(0); at < 4*step; at += step / 2 {
				num := 0
				for _, can := range clu.list {
					if !clu.down[can.Name] && clu.noms[can.Name].Reads() {
						num++
					}
				}
				if num >= nominator.Readers && began == 0 {
					began = at
					break
				}
				most = max(most, num)
				clu.clk.Advance(step / 2)
			}
			Expect(began).To(BeNumerically("<=", step))
			most, reading = clu.play(8 * step)
			Expect(most).To(BeNumerically("<=", 4))
			Expect(reading).To(HaveLen(nominator.Readers))
		}
	})

	It("has an entry that knows no other one read the store at once", func() {
		clu := newCluster(1)
		Expect(clu.noms["e0"].Reads()).To(BeTrue())
	})
})
