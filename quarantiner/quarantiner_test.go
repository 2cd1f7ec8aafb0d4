package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/recorder"
)

func TestQuarantiner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantiner")
}

type fold struct {
	condemned map[string]bool
	proposed  []recorder.Condemn
}

func (fol *fold) Condemned(fpr string) bool    { return fol.condemned[fpr] }
func (fol *fold) Propose(con recorder.Condemn) { fol.proposed = append(fol.proposed, con) }

func newQuarantiner(set Settings) (*Quarantiner, *fold, *clockwork.FakeClock) {
	fol := &fold{condemned: map[string]bool{}}
	clk := clockwork.NewFakeClock()
	return New(set, clk, fol, fol), fol, clk
}

var _ = Describe("Quarantiner", func() {
	It("suspects after one crash and condemns after two distinct ones, once", func() {
		qua, fol, _ := newQuarantiner(Settings{})
		first, second := CrashID("u1", 4, "a"), CrashID("u2", 5, "b")
		qua.Crashed("f", "hall", "u1", first)
		qua.Crashed("f", "hall", "u1", first)
		Expect(qua.Suspect("f")).To(BeTrue())
		Expect(qua.Condemned("f")).To(BeFalse())
		qua.Crashed("f", "hall", "u2", second)
		qua.Crashed("f", "hall", "u2", CrashID("u2", 5, "c"))
		Expect(qua.Condemned("f")).To(BeTrue())
		Expect(fol.proposed).To(Equal([]recorder.Condemn{{Fingerprint: "f", Workspace: "hall", Crashed: []string{first, second}}}))
	})

	It("condemns what the fold condemns and proposes it no more", func() {
		qua, fol, _ := newQuarantiner(Settings{})
		fol.condemned["f"] = true
		Expect(qua.Condemned("f")).To(BeTrue())
		qua.Crashed("f", "hall", "u1", "a")
		qua.Crashed("f", "hall", "u2", "b")
		Expect(fol.proposed).To(BeEmpty())
	})

	It("counts crashes that different entries saw", func() {
		one, _, _ := newQuarantiner(Settings{})
		two, fol, _ := newQuarantiner(Settings{})
		one.Crashed("f", "hall", "u1", "a")
		two.Crashed("f", "hall", "u2", "b")
		for range 2 {
			for _, fac := range one.Facts() {
				two.Merge(fac)
			}
		}
		Expect(two.Condemned("f")).To(BeTrue())
		Expect(fol.proposed).To(HaveLen(1))
	})

	It("clears a suspect that ran to its end, also at the entries that hear of it", func() {
		one, _, _ := newQuarantiner(Settings{})
		two, _, _ := newQuarantiner(Settings{})
		one.Crashed("f", "hall", "u1", "a")
		two.Merge(one.Facts()[0])
		one.Passed("f")
		two.Merge(one.Facts()[0])
		Expect(one.Suspect("f")).To(BeFalse())
		Expect(two.Suspect("f")).To(BeFalse())
	})

	It("bounds what it remembers by count and by age", func() {
		qua, _, clk := newQuarantiner(Settings{MaxFacts: 16, MaxAge: time.Minute})
		for num := range 100 {
			clk.Advance(time.Millisecond)
			qua.Crashed(fmt.Sprint(num), "hall", "u", "a")
			Expect(len(qua.Facts())).To(BeNumerically("<=", 16))
		}
		Expect(qua.Suspect("99")).To(BeTrue())
		Expect(qua.Suspect("0")).To(BeFalse())
		clk.Advance(2 * time.Minute)
		Expect(qua.Suspect("99")).To(BeFalse())
		Expect(qua.Facts()).To(BeEmpty())
	})

	It("tells requests apart by workspace, model and content, wherever these are cut", func() {
		seen := map[string]bool{}
		for _, fpr := range []string{
			Fingerprint("ab", "c", []byte("d")), Fingerprint("a", "bc", []byte("d")),
			Fingerprint("a", "b", []byte("cd")), Fingerprint("ab", "c", []byte("e")),
		} {
			Expect(fpr).To(HaveLen(32))
			seen[fpr] = true
		}
		Expect(seen).To(HaveLen(4))
		Expect(Fingerprint("ab", "c", []byte("d"))).To(Equal(Fingerprint("ab", "c", []byte("d"))))
	})

	It("condemns fewer healthy requests when a suspect meets no other suspect", func() {
		var with, without tally
		for seed := range uint64(20) {
			with.add(simulate(seed, true))
			without.add(simulate(seed, false))
		}
		AddReportEntry("with isolation", with.String())
		AddReportEntry("without isolation", without.String())
		fmt.Println("with isolation:", with, "without:", without)
		Expect(with.caught).To(Equal(with.killers))
		Expect(without.caught).To(Equal(without.killers))
		Expect(with.condemned * 10).To(BeNumerically("<", without.condemned))
	})
})

type tally struct{ healthy, condemned, killers, caught, crashes int }

func (tal *tally) add(oth tally) {
	tal.healthy += oth.healthy
	tal.condemned += oth.condemned
	tal.killers += oth.killers
	tal.caught += oth.caught
	tal.crashes += oth.crashes
}

func (tal tally) String() string {
	return fmt.Sprintf("%d of %d healthy requests condemned, %d of %d killers, %d crashes",
		tal.condemned, tal.healthy, tal.caught, tal.killers, tal.crashes)
}

type modelRequest struct {
	fpr    string
	killer bool
	left   int
}

// simulate runs 2000 requests, 1 in 200 of them a killer, on 12 units of 8 places in rounds; a crashed request is sent again.
func simulate(seed uint64, isolate bool) tally {
	rng := rand.New(rand.NewPCG(seed, 0))
	qua, _, _ := newQuarantiner(Settings{})
	var tal tally
	var queue []*modelRequest
	for num := range 2000 {
		req := &modelRequest{fpr: fmt.Sprint(num), killer: num%200 == 0, left: 1 + rng.IntN(6)}
		queue = append(queue, req)
		if req.killer {
			tal.killers++
		} else {
			tal.healthy++
		}
	}
	rng.Shuffle(len(queue), func(one, two int) { queue[one], queue[two] = queue[two], queue[one] })
	units := make([][]*modelRequest, 12)
	for round := range 1000 {
		queue = place(qua, units, queue, isolate)
		for num := range units {
			crash := CrashID(fmt.Sprint("u", num), int64(round), "")
			again, crashed := advance(qua, &tal, &units[num], crash, rng)
			if crashed {
				tal.crashes++
			}
			queue = append(again, queue...)
		}
	}
	return tal
}

// place fills the units in turn; with isolate a suspect waits for a unit without a suspect.
func place(qua *Quarantiner, units [][]*modelRequest, queue []*modelRequest, isolate bool) []*modelRequest {
	var rest []*modelRequest
	for _, req := range queue {
		placed := false
		for num := range units {
			if len(units[num]) >= 8 || isolate && qua.Suspect(req.fpr) && holdsSuspect(qua, units[num]) {
				continue
			}
			units[num] = append(units[num], req)
			placed = true
			break
		}
		if !placed {
			rest = append(rest, req)
		}
	}
	return rest
}

func holdsSuspect(qua *Quarantiner, unit []*modelRequest) bool {
	for _, req := range unit {
		if qua.Suspect(req.fpr) {
			return true
		}
	}
	return false
}

// advance steps the requests of a unit; a killer crashes it with a chance of 1 in 2 each round.
func advance(qua *Quarantiner, tal *tally, unit *[]*modelRequest, crash string, rng *rand.Rand) ([]*modelRequest, bool) {
	crashed := false
	for _, req := range *unit {
		crashed = crashed || req.killer && rng.IntN(2) == 0
	}
	var stay, again []*modelRequest
	for _, req := range *unit {
		req.left--
		switch {
		case crashed:
			qua.Crashed(req.fpr, "hall", "u", crash)
			again = append(again, keepUncondemned(qua, tal, req)...)
		case req.killer || req.left > 0:
			stay = append(stay, req)
		default:
			qua.Passed(req.fpr)
		}
	}
	*unit = stay
	return again, crashed
}

func keepUncondemned(qua *Quarantiner, tal *tally, req *modelRequest) []*modelRequest {
	if !qua.Condemned(req.fpr) {
		return []*modelRequest{req}
	}
	if req.killer {
		tal.caught++
	} else {
		tal.condemned++
	}
	return nil
}
