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

type fakeLog struct {
	condemned map[string]bool
	proposed  []recorder.Condemn
}

func (log *fakeLog) Condemned(fpr string) bool    { return log.condemned[fpr] }
func (log *fakeLog) Propose(con recorder.Condemn) { log.proposed = append(log.proposed, con) }

func newQuarantiner(set Settings) (*Quarantiner, *fakeLog, *clockwork.FakeClock) {
	log := &fakeLog{condemned: map[string]bool{}}
	clk := clockwork.NewFakeClock()
	return New(set, clk, log, log), log, clk
}

var _ = Describe("Quarantiner", func() {
	It("suspects after one crash and condemns after two distinct ones, once", func() {
		qua, log, _ := newQuarantiner(Settings{})
		first, second := CrashID("u1", 4, "a"), CrashID("u2", 5, "b")
		qua.RecordCrash("f", "hall", "u1", first)
		qua.RecordCrash("f", "hall", "u1", first)
		Expect(qua.IsSuspect("f")).To(BeTrue())
		Expect(qua.Condemned("f")).To(BeFalse())
		qua.RecordCrash("f", "hall", "u2", second)
		qua.RecordCrash("f", "hall", "u2", CrashID("u2", 5, "c"))
		Expect(qua.Condemned("f")).To(BeTrue())
		Expect(log.proposed).To(Equal([]recorder.Condemn{{Fingerprint: "f", Workspace: "hall", Crashed: []string{first, second}}}))
	})

	It("condemns what the log condemns and does not propose it again", func() {
		qua, log, _ := newQuarantiner(Settings{})
		log.condemned["f"] = true
		Expect(qua.Condemned("f")).To(BeTrue())
		qua.RecordCrash("f", "hall", "u1", "a")
		qua.RecordCrash("f", "hall", "u2", "b")
		Expect(log.proposed).To(BeEmpty())
	})

	It("counts crashes observed by different entries", func() {
		one, _, _ := newQuarantiner(Settings{})
		two, log, _ := newQuarantiner(Settings{})
		one.RecordCrash("f", "hall", "u1", "a")
		two.RecordCrash("f", "hall", "u2", "b")
		for range 2 {
			for _, obs := range one.Observations() {
				two.Merge(obs)
			}
		}
		Expect(two.Condemned("f")).To(BeTrue())
		Expect(log.proposed).To(HaveLen(1))
	})

	It("clears a suspect that completed, also at the entries that merge its observations", func() {
		one, _, _ := newQuarantiner(Settings{})
		two, _, _ := newQuarantiner(Settings{})
		one.RecordCrash("f", "hall", "u1", "a")
		two.Merge(one.Observations()[0])
		one.RecordCompletion("f")
		two.Merge(one.Observations()[0])
		Expect(one.IsSuspect("f")).To(BeFalse())
		Expect(two.IsSuspect("f")).To(BeFalse())
	})

	It("limits observations by count and by age", func() {
		qua, _, clk := newQuarantiner(Settings{MaxObservations: 16, MaxAge: time.Minute})
		for num := range 100 {
			clk.Advance(time.Millisecond)
			qua.RecordCrash(fmt.Sprint(num), "hall", "u", "a")
			Expect(len(qua.Observations())).To(BeNumerically("<=", 16))
		}
		Expect(qua.IsSuspect("99")).To(BeTrue())
		Expect(qua.IsSuspect("0")).To(BeFalse())
		clk.Advance(2 * time.Minute)
		Expect(qua.IsSuspect("99")).To(BeFalse())
		Expect(qua.Observations()).To(BeEmpty())
	})

	It("distinguishes requests by workspace, model and content, including the boundaries between them", func() {
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

	It("condemns fewer healthy requests when a suspect shares its unit with no other suspect", func() {
		var with, without simResult
		for seed := range uint64(20) {
			with.add(simulate(seed, true))
			without.add(simulate(seed, false))
		}
		AddReportEntry("with isolation", with.String())
		AddReportEntry("without isolation", without.String())
		fmt.Println("with isolation:", with, "without:", without)
		Expect(with.caught).To(Equal(with.crashers))
		Expect(without.caught).To(Equal(without.crashers))
		Expect(with.condemned * 10).To(BeNumerically("<", without.condemned))
	})
})

type simResult struct{ healthy, condemned, crashers, caught, crashes int }

func (res *simResult) add(oth simResult) {
	res.healthy += oth.healthy
	res.condemned += oth.condemned
	res.crashers += oth.crashers
	res.caught += oth.caught
	res.crashes += oth.crashes
}

func (res simResult) String() string {
	return fmt.Sprintf("%d of %d healthy requests condemned, %d of %d crashing requests, %d crashes",
		res.condemned, res.healthy, res.caught, res.crashers, res.crashes)
}

type modelRequest struct {
	fpr        string
	crasher    bool
	roundsLeft int
}

// simulate runs 2000 requests in rounds on 12 units of 8 slots; 1 in 200 requests crashes its unit, and the requests of a crashed unit are retried.
func simulate(seed uint64, isolate bool) simResult {
	rng := rand.New(rand.NewPCG(seed, 0))
	qua, _, _ := newQuarantiner(Settings{})
	var res simResult
	var queue []*modelRequest
	for num := range 2000 {
		req := &modelRequest{fpr: fmt.Sprint(num), crasher: num%200 == 0, roundsLeft: 1 + rng.IntN(6)}
		queue = append(queue, req)
		if req.crasher {
			res.crashers++
		} else {
			res.healthy++
		}
	}
	rng.Shuffle(len(queue), func(one, two int) { queue[one], queue[two] = queue[two], queue[one] })
	units := make([][]*modelRequest, 12)
	for round := range 1000 {
		queue = placeRequests(qua, units, queue, isolate)
		for num := range units {
			crash := CrashID(fmt.Sprint("u", num), int64(round), "")
			retried, crashed := runRound(qua, &res, &units[num], crash, rng)
			if crashed {
				res.crashes++
			}
			queue = append(retried, queue...)
		}
	}
	return res
}

// placeRequests fills the units in order and returns the requests left waiting; with isolate a suspect waits for a unit without a suspect.
func placeRequests(qua *Quarantiner, units [][]*modelRequest, queue []*modelRequest, isolate bool) []*modelRequest {
	var waiting []*modelRequest
	for _, req := range queue {
		placed := false
		for num := range units {
			if len(units[num]) >= 8 || isolate && qua.IsSuspect(req.fpr) && hasSuspect(qua, units[num]) {
				continue
			}
			units[num] = append(units[num], req)
			placed = true
			break
		}
		if !placed {
			waiting = append(waiting, req)
		}
	}
	return waiting
}

func hasSuspect(qua *Quarantiner, unit []*modelRequest) bool {
	for _, req := range unit {
		if qua.IsSuspect(req.fpr) {
			return true
		}
	}
	return false
}

// runRound advances the requests of a unit by one round; each crashing request crashes the unit with a probability of 1/2 per round.
func runRound(qua *Quarantiner, res *simResult, unit *[]*modelRequest, crash string, rng *rand.Rand) ([]*modelRequest, bool) {
	crashed := false
	for _, req := range *unit {
		crashed = crashed || req.crasher && rng.IntN(2) == 0
	}
	var remaining, retried []*modelRequest
	for _, req := range *unit {
		req.roundsLeft--
		switch {
		case crashed:
			qua.RecordCrash(req.fpr, "hall", "u", crash)
			retried = append(retried, retryUnlessCondemned(qua, res, req)...)
		case req.crasher || req.roundsLeft > 0:
			remaining = append(remaining, req)
		default:
			qua.RecordCompletion(req.fpr)
		}
	}
	*unit = remaining
	return retried, crashed
}

func retryUnlessCondemned(qua *Quarantiner, res *simResult, req *modelRequest) []*modelRequest {
	if !qua.Condemned(req.fpr) {
		return []*modelRequest{req}
	}
	if req.crasher {
		res.caught++
	} else {
		res.condemned++
	}
	return nil
}
