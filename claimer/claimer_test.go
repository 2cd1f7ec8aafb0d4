package claimer

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// fakeCluster stands in for the peers, the applied log state and the log of one incarnation.
type fakeCluster struct {
	live       map[string]bool
	successor  map[string]string
	claims     map[string]reducer.Claim
	keysTooOld bool
	appended   chan recorder.Record
	appendErr  error
}

func (clu *fakeCluster) Live(inc string) bool { return clu.live[inc] }

func (clu *fakeCluster) Successor(inc string) (string, bool) {
	suc, departed := clu.successor[inc]
	return suc, departed
}

func (clu *fakeCluster) Claim(key string) (reducer.Claim, bool) {
	cla, claimed := clu.claims[key]
	return cla, claimed
}

func (clu *fakeCluster) Claimable(int64) bool { return !clu.keysTooOld }

func (clu *fakeCluster) Append(_ context.Context, rec recorder.Record) error {
	if clu.appendErr != nil {
		return clu.appendErr
	}
	body, err := recorder.Decode[recorder.Claims](rec)
	if err != nil {
		return err
	}
	for _, cla := range body.Claims {
		if _, exists := clu.claims[cla.Key]; !exists {
			clu.claims[cla.Key] = reducer.Claim{Owner: rec.Writer}
		}
	}
	clu.appended <- rec
	return nil
}

func (clu *fakeCluster) WaitApplied(context.Context, string) (int64, error) { return 1, nil }

func newTestClaimer(set Settings) (*Claimer, *fakeCluster, *clockwork.FakeClock) {
	clu := &fakeCluster{live: map[string]bool{"i1": true}, successor: map[string]string{}, claims: map[string]reducer.Claim{}, appended: make(chan recorder.Record, 64)}
	clk := clockwork.NewFakeClock()
	set.Name, set.Incarnation = "e1", "i1"
	return New(set, clk, clu, clu, clu), clu, clk
}

// beginWhileTimePasses calls Begin and advances the clock until it returns, so that the batch is flushed.
func beginWhileTimePasses(ctx context.Context, cla *Claimer, clk *clockwork.FakeClock, key string) (Decision, error) {
	returned := make(chan struct{})
	var dec Decision
	var err error
	go func() {
		defer close(returned)
		dec, err = cla.Begin(ctx, key, "f")
	}()
	for {
		select {
		case <-returned:
			return dec, err
		case <-time.After(time.Millisecond):
			clk.Advance(time.Millisecond)
		}
	}
}

func beRefusal(kind Kind) OmegaMatcher {
	return WithTransform(func(err error) Kind { return refusalOf(err).Kind }, Equal(kind))
}

func refusalOf(err error) *Refusal {
	var ref *Refusal
	Expect(errors.As(err, &ref)).To(BeTrue(), "%v", err)
	return ref
}

const clientKey = "01890a5d-ac96-774b-bcce-b302099a8057"

var _ = Describe("Claimer", func() {
	done := Outcome{State: StateDone, Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("seat 4")}

	for _, key := range []string{"e1.i1.0/a", clientKey} {
		It("runs "+key+" once, replays its outcome and refuses another request", func(ctx SpecContext) {
			cla, _, clk := newTestClaimer(Settings{})
			dec, err := beginWhileTimePasses(ctx, cla, clk, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(dec.Verdict).To(Equal(VerdictRun))
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			_, err = cla.Begin(cancelled, key, "f")
			Expect(err).To(beRefusal(KindOutcomeUnknown))
			waited := make(chan Decision)
			go func() {
				dec, _ := cla.Begin(ctx, strings.ToLower(key), "f")
				waited <- dec
			}()
			cla.Finish(key, done)
			Expect(<-waited).To(Equal(Decision{Verdict: VerdictReplay, Outcome: done}))
			_, err = cla.Begin(ctx, key, "g")
			Expect(err).To(beRefusal(KindConflict))
			Expect(func() { cla.Finish(key, done) }).To(Panic())
		})
	}

	It("treats upper and lower case of a UUID as one key", func(ctx SpecContext) {
		cla, _, clk := newTestClaimer(Settings{})
		_, err := beginWhileTimePasses(ctx, cla, clk, clientKey)
		Expect(err).NotTo(HaveOccurred())
		cla.Finish(clientKey, done)
		dec, err := cla.Begin(ctx, strings.ToUpper(clientKey), "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
	})

	It("counts windows by its own clock", func(ctx SpecContext) {
		cla, _, clk := newTestClaimer(Settings{Window: time.Minute})
		Expect(cla.Prefix()).To(Equal("e1.i1.0"))
		_, err := cla.Begin(ctx, "e1.i1.1/a", "f")
		Expect(err).To(beRefusal(KindInvalid))
		_, err = cla.Begin(ctx, "e2.i1.0/a", "f")
		Expect(err).To(beRefusal(KindInvalid))
		_, err = cla.Begin(ctx, "e1.i1.0/kept", "f")
		Expect(err).NotTo(HaveOccurred())
		cla.Finish("e1.i1.0/kept", done)
		clk.Advance(time.Minute)
		_, err = cla.Begin(ctx, "e1.i1.0/late", "f")
		Expect(err).NotTo(HaveOccurred())
		clk.Advance(2 * time.Minute)
		_, err = cla.Begin(ctx, "e1.i1.1/b", "f")
		Expect(err).To(beRefusal(KindExpired))
		dec, err := cla.Begin(ctx, "e1.i1.0/kept", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
		clk.Advance(time.Minute)
		_, err = cla.Begin(ctx, "e1.i1.0/kept", "f")
		Expect(err).To(beRefusal(KindExpired))
		Expect(cla.Stats().Keys).To(Equal(1))
	})

	It("forwards keys of other incarnations to the one that holds their outcome", func(ctx SpecContext) {
		cla, clu, _ := newTestClaimer(Settings{})
		clu.live["i2"] = true
		clu.successor["i3"], clu.successor["i4"], clu.successor["i5"] = "i2", "i3", ""
		clu.claims[clientKey] = reducer.Claim{Owner: "i4"}
		for _, key := range []string{"e2.i2.9/a", "e3.i3.9/a", "e4.i4.9/a", clientKey} {
			dec, err := cla.Begin(ctx, key, "f")
			Expect(err).NotTo(HaveOccurred())
			Expect(dec).To(Equal(Decision{Verdict: VerdictForward, Incarnation: "i2"}))
		}
		clu.claims[clientKey] = reducer.Claim{Owner: "i5"}
		for _, key := range []string{"e5.i5.0/a", "e6.i6.0/a", clientKey} {
			_, err := cla.Begin(ctx, key, "f")
			Expect(err).To(beRefusal(KindOutcomeUnknown))
		}
	})

	It("refuses with not run when the log is unavailable, and runs the key once when its claim was appended nevertheless", func(ctx SpecContext) {
		cla, clu, clk := newTestClaimer(Settings{})
		clu.appendErr = context.DeadlineExceeded
		_, err := beginWhileTimePasses(ctx, cla, clk, clientKey)
		Expect(err).To(beRefusal(KindNotRun))
		clu.claims[clientKey] = reducer.Claim{Owner: "i1"}
		dec, err := cla.Begin(ctx, clientKey, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictRun))
		cla.Finish(clientKey, done)
		dec, err = cla.Begin(ctx, clientKey, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
	})

	It("batches claims into one record", func(ctx SpecContext) {
		cla, clu, clk := newTestClaimer(Settings{BatchKeys: 3, BatchWait: time.Hour})
		for _, suffix := range []string{"51", "52", "53"} {
			go cla.Begin(ctx, clientKey[:34]+suffix, "f")
		}
		body, err := recorder.Decode[recorder.Claims](<-clu.appended)
		Expect(err).NotTo(HaveOccurred())
		Expect(body.Claims).To(HaveLen(3))
		Expect(body.Claims[0].IssuedMS).To(Equal(int64(0x01890a5dac96)))
		clk.Advance(time.Second)
		Expect(cla.Stats().Appends).To(Equal(int64(1)))
	})

	It("refuses new keys when the table is full, and drops none", func(ctx SpecContext) {
		for _, set := range []Settings{{MaxKeys: 1}, {MaxBytes: 2000, MaxOutcome: 1000}} {
			cla, _, _ := newTestClaimer(set)
			_, err := cla.Begin(ctx, "e1.i1.0/a", "f")
			Expect(err).NotTo(HaveOccurred())
			_, err = cla.Begin(ctx, "e1.i1.0/b", "f")
			Expect(err).To(beRefusal(KindNotRun))
			cla.Finish("e1.i1.0/a", done)
			dec, err := cla.Begin(ctx, "e1.i1.0/a", "f")
			Expect(err).NotTo(HaveOccurred())
			Expect(dec.Verdict).To(Equal(VerdictReplay))
		}
	})

	It("keeps only the status of an answer that is too large", func(ctx SpecContext) {
		cla, _, _ := newTestClaimer(Settings{MaxOutcome: 8})
		_, err := cla.Begin(ctx, "e1.i1.0/a", "f")
		Expect(err).NotTo(HaveOccurred())
		cla.Finish("e1.i1.0/a", Outcome{State: StateDone, Status: 200, Body: make([]byte, 9)})
		dec, err := cla.Begin(ctx, "e1.i1.0/a", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Outcome).To(Equal(Outcome{State: StateDone, Status: 200, Truncated: true}))
	})

	It("runs no new call after a handover, and the successor answers in its place", func(ctx SpecContext) {
		old, _, _ := newTestClaimer(Settings{Window: time.Minute})
		for _, key := range []string{"e1.i1.0/done", "e1.i1.0/running"} {
			_, err := old.Begin(ctx, key, "f")
			Expect(err).NotTo(HaveOccurred())
		}
		old.Finish("e1.i1.0/done", done)
		tab := old.Handover()
		_, err := old.Begin(ctx, "e1.i1.0/new", "f")
		Expect(err).To(beRefusal(KindNotRun))
		Expect(old.Adopt(tab)).To(beRefusal(KindNotRun))

		clu := &fakeCluster{claims: map[string]reducer.Claim{clientKey: {Owner: "i1"}}, live: map[string]bool{"i1": true}, successor: map[string]string{}}
		clk := clockwork.NewFakeClock()
		suc := New(Settings{Name: "e2", Incarnation: "i2"}, clk, clu, clu, clu)
		Expect(suc.Adopt(tab)).To(Succeed())
		Expect(suc.Adopt(tab)).To(Succeed())
		dec, err := suc.Begin(ctx, "e1.i1.0/done", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec).To(Equal(Decision{Verdict: VerdictReplay, Outcome: done}))
		_, err = suc.Begin(ctx, "e1.i1.0/running", "f")
		Expect(err).To(beRefusal(KindOutcomeUnknown))
		dec, err = suc.Begin(ctx, clientKey, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec).To(Equal(Decision{Verdict: VerdictForward, Incarnation: "i1"}))
		clu.live["i1"] = false
		_, err = suc.Begin(ctx, clientKey, "f")
		Expect(err).To(beRefusal(KindOutcomeUnknown))
		clu.successor["i1"] = "i2"
		for _, key := range []string{"e1.i1.0/new", clientKey} {
			_, err = suc.Begin(ctx, key, "f")
			Expect(err).To(beRefusal(KindNotRun))
			Expect(refusalOf(err).ThisSendOnly).To(BeFalse())
		}
		clk.Advance(4 * time.Minute)
		_, err = suc.Begin(ctx, "e1.i1.0/done", "f")
		Expect(err).To(beRefusal(KindExpired))
	})

	It("refuses a key that is too old to be claimed, and drops its outcome only then", func(ctx SpecContext) {
		cla, clu, clk := newTestClaimer(Settings{})
		_, err := beginWhileTimePasses(ctx, cla, clk, clientKey)
		Expect(err).NotTo(HaveOccurred())
		cla.Finish(clientKey, done)
		clk.Advance(24 * time.Hour)
		dec, err := cla.Begin(ctx, clientKey, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
		clu.keysTooOld = true
		clk.Advance(time.Minute)
		_, err = cla.Begin(ctx, clientKey, "f")
		Expect(err).To(beRefusal(KindExpired))
		Expect(cla.Stats().Keys).To(BeZero())
	})
})
