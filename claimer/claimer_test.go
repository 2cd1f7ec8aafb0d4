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

// single is the world of one incarnation: its peers, its fold and the log.
type single struct {
	live      map[string]bool
	successor map[string]string
	claims    map[string]reducer.Claim
	old       bool
	landed    chan recorder.Record
	fail      error
}

func (sin *single) Live(inc string) bool { return sin.live[inc] }

func (sin *single) Successor(inc string) (string, bool) {
	suc, left := sin.successor[inc]
	return suc, left
}

func (sin *single) Claim(key string) (reducer.Claim, bool) {
	cla, claimed := sin.claims[key]
	return cla, claimed
}

func (sin *single) Claimable(int64) bool { return !sin.old }

func (sin *single) Append(_ context.Context, rec recorder.Record) error {
	if sin.fail != nil {
		return sin.fail
	}
	body, err := recorder.Decode[recorder.Claims](rec)
	if err != nil {
		return err
	}
	for _, cla := range body.Claims {
		if _, taken := sin.claims[cla.Key]; !taken {
			sin.claims[cla.Key] = reducer.Claim{Owner: rec.Writer}
		}
	}
	sin.landed <- rec
	return nil
}

func (sin *single) WaitFolded(context.Context, string) (int64, error) { return 1, nil }

func newSingle(set Settings) (*Claimer, *single, *clockwork.FakeClock) {
	sin := &single{live: map[string]bool{"i1": true}, successor: map[string]string{}, claims: map[string]reducer.Claim{}, landed: make(chan recorder.Record, 64)}
	clk := clockwork.NewFakeClock()
	set.Name, set.Incarnation = "e1", "i1"
	return New(set, clk, sin, sin, sin), sin, clk
}

// begin sends a key while time passes for its batch.
func begin(ctx context.Context, cla *Claimer, clk *clockwork.FakeClock, key string) (Decision, error) {
	over := make(chan struct{})
	var dec Decision
	var err error
	go func() {
		defer close(over)
		dec, err = cla.Begin(ctx, key, "f")
	}()
	for {
		select {
		case <-over:
			return dec, err
		case <-time.After(time.Millisecond):
			clk.Advance(time.Millisecond)
		}
	}
}

func refused(kind Kind) OmegaMatcher {
	return WithTransform(func(err error) Kind { return refusalOf(err).Kind }, Equal(kind))
}

func refusalOf(err error) *Refusal {
	var ref *Refusal
	Expect(errors.As(err, &ref)).To(BeTrue(), "%v", err)
	return ref
}

const logged = "01890a5d-ac96-774b-bcce-b302099a8057"

var _ = Describe("Claimer", func() {
	done := Outcome{State: StateDone, Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("seat 4")}

	for _, key := range []string{"e1.i1.0/a", logged} {
		It("runs "+key+" once, replays its outcome and refuses another request", func(ctx SpecContext) {
			cla, _, clk := newSingle(Settings{})
			dec, err := begin(ctx, cla, clk, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(dec.Verdict).To(Equal(VerdictRun))
			hasty, cancel := context.WithCancel(ctx)
			cancel()
			_, err = cla.Begin(hasty, key, "f")
			Expect(err).To(refused(KindOutcomeUnknown))
			waited := make(chan Decision)
			go func() {
				dec, _ := cla.Begin(ctx, strings.ToLower(key), "f")
				waited <- dec
			}()
			cla.Finish(key, done)
			Expect(<-waited).To(Equal(Decision{Verdict: VerdictReplay, Outcome: done}))
			_, err = cla.Begin(ctx, key, "g")
			Expect(err).To(refused(KindConflict))
			Expect(func() { cla.Finish(key, done) }).To(Panic())
		})
	}

	It("takes two spellings of a UUID for one key", func(ctx SpecContext) {
		cla, _, clk := newSingle(Settings{})
		_, err := begin(ctx, cla, clk, logged)
		Expect(err).NotTo(HaveOccurred())
		cla.Finish(logged, done)
		dec, err := cla.Begin(ctx, strings.ToUpper(logged), "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
	})

	It("counts windows on its own clock", func(ctx SpecContext) {
		cla, _, clk := newSingle(Settings{Window: time.Minute})
		Expect(cla.Prefix()).To(Equal("e1.i1.0"))
		_, err := cla.Begin(ctx, "e1.i1.1/a", "f")
		Expect(err).To(refused(KindInvalid))
		_, err = cla.Begin(ctx, "e2.i1.0/a", "f")
		Expect(err).To(refused(KindInvalid))
		_, err = cla.Begin(ctx, "e1.i1.0/kept", "f")
		Expect(err).NotTo(HaveOccurred())
		cla.Finish("e1.i1.0/kept", done)
		clk.Advance(time.Minute)
		_, err = cla.Begin(ctx, "e1.i1.0/late", "f")
		Expect(err).NotTo(HaveOccurred())
		clk.Advance(2 * time.Minute)
		_, err = cla.Begin(ctx, "e1.i1.1/b", "f")
		Expect(err).To(refused(KindExpired))
		dec, err := cla.Begin(ctx, "e1.i1.0/kept", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
		clk.Advance(time.Minute)
		_, err = cla.Begin(ctx, "e1.i1.0/kept", "f")
		Expect(err).To(refused(KindExpired))
		Expect(cla.Stats().Keys).To(Equal(1))
	})

	It("sends the keys of others to who holds them", func(ctx SpecContext) {
		cla, sin, _ := newSingle(Settings{})
		sin.live["i2"] = true
		sin.successor["i3"], sin.successor["i4"], sin.successor["i5"] = "i2", "i3", ""
		sin.claims[logged] = reducer.Claim{Owner: "i4"}
		for _, key := range []string{"e2.i2.9/a", "e3.i3.9/a", "e4.i4.9/a", logged} {
			dec, err := cla.Begin(ctx, key, "f")
			Expect(err).NotTo(HaveOccurred())
			Expect(dec).To(Equal(Decision{Verdict: VerdictForward, Incarnation: "i2"}))
		}
		sin.claims[logged] = reducer.Claim{Owner: "i5"}
		for _, key := range []string{"e5.i5.0/a", "e6.i6.0/a", logged} {
			_, err := cla.Begin(ctx, key, "f")
			Expect(err).To(refused(KindOutcomeUnknown))
		}
	})

	It("says not run when the log is out, and runs the key once when its claim landed all the same", func(ctx SpecContext) {
		cla, sin, clk := newSingle(Settings{})
		sin.fail = context.DeadlineExceeded
		_, err := begin(ctx, cla, clk, logged)
		Expect(err).To(refused(KindNotRun))
		sin.claims[logged] = reducer.Claim{Owner: "i1"}
		dec, err := cla.Begin(ctx, logged, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictRun))
		cla.Finish(logged, done)
		dec, err = cla.Begin(ctx, logged, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
	})

	It("collects claims into one record", func(ctx SpecContext) {
		cla, sin, clk := newSingle(Settings{BatchKeys: 3, BatchWait: time.Hour})
		for _, end := range []string{"51", "52", "53"} {
			go cla.Begin(ctx, logged[:34]+end, "f")
		}
		body, err := recorder.Decode[recorder.Claims](<-sin.landed)
		Expect(err).NotTo(HaveOccurred())
		Expect(body.Claims).To(HaveLen(3))
		Expect(body.Claims[0].IssuedMS).To(Equal(int64(0x01890a5dac96)))
		clk.Advance(time.Second)
		Expect(cla.Stats().Appends).To(Equal(int64(1)))
	})

	It("refuses new keys when it is full, and forgets none", func(ctx SpecContext) {
		for _, set := range []Settings{{MaxKeys: 1}, {MaxBytes: 2000, MaxOutcome: 1000}} {
			cla, _, _ := newSingle(set)
			_, err := cla.Begin(ctx, "e1.i1.0/a", "f")
			Expect(err).NotTo(HaveOccurred())
			_, err = cla.Begin(ctx, "e1.i1.0/b", "f")
			Expect(err).To(refused(KindNotRun))
			cla.Finish("e1.i1.0/a", done)
			dec, err := cla.Begin(ctx, "e1.i1.0/a", "f")
			Expect(err).NotTo(HaveOccurred())
			Expect(dec.Verdict).To(Equal(VerdictReplay))
		}
	})

	It("keeps the status alone of an answer that is too large", func(ctx SpecContext) {
		cla, _, _ := newSingle(Settings{MaxOutcome: 8})
		_, err := cla.Begin(ctx, "e1.i1.0/a", "f")
		Expect(err).NotTo(HaveOccurred())
		cla.Finish("e1.i1.0/a", Outcome{State: StateDone, Status: 200, Body: make([]byte, 9)})
		dec, err := cla.Begin(ctx, "e1.i1.0/a", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Outcome).To(Equal(Outcome{State: StateDone, Status: 200, Truncated: true}))
	})

	It("begins nothing after a handover, and the successor answers for it", func(ctx SpecContext) {
		old, _, _ := newSingle(Settings{Window: time.Minute})
		for _, key := range []string{"e1.i1.0/done", "e1.i1.0/running"} {
			_, err := old.Begin(ctx, key, "f")
			Expect(err).NotTo(HaveOccurred())
		}
		old.Finish("e1.i1.0/done", done)
		tab := old.Handover()
		_, err := old.Begin(ctx, "e1.i1.0/new", "f")
		Expect(err).To(refused(KindNotRun))
		Expect(old.Adopt(tab)).To(refused(KindNotRun))

		sin := &single{claims: map[string]reducer.Claim{logged: {Owner: "i1"}}, live: map[string]bool{"i1": true}, successor: map[string]string{}}
		clk := clockwork.NewFakeClock()
		suc := New(Settings{Name: "e2", Incarnation: "i2"}, clk, sin, sin, sin)
		Expect(suc.Adopt(tab)).To(Succeed())
		Expect(suc.Adopt(tab)).To(Succeed())
		dec, err := suc.Begin(ctx, "e1.i1.0/done", "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec).To(Equal(Decision{Verdict: VerdictReplay, Outcome: done}))
		_, err = suc.Begin(ctx, "e1.i1.0/running", "f")
		Expect(err).To(refused(KindOutcomeUnknown))
		dec, err = suc.Begin(ctx, logged, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec).To(Equal(Decision{Verdict: VerdictForward, Incarnation: "i1"}))
		sin.live["i1"] = false
		_, err = suc.Begin(ctx, logged, "f")
		Expect(err).To(refused(KindOutcomeUnknown))
		sin.successor["i1"] = "i2"
		for _, key := range []string{"e1.i1.0/new", logged} {
			_, err = suc.Begin(ctx, key, "f")
			Expect(err).To(refused(KindNotRun))
			Expect(refusalOf(err).ThisSendOnly).To(BeFalse())
		}
		clk.Advance(4 * time.Minute)
		_, err = suc.Begin(ctx, "e1.i1.0/done", "f")
		Expect(err).To(refused(KindExpired))
	})

	It("refuses a key that is too old to be claimed, and forgets its outcome only then", func(ctx SpecContext) {
		cla, sin, clk := newSingle(Settings{})
		_, err := begin(ctx, cla, clk, logged)
		Expect(err).NotTo(HaveOccurred())
		cla.Finish(logged, done)
		clk.Advance(24 * time.Hour)
		dec, err := cla.Begin(ctx, logged, "f")
		Expect(err).NotTo(HaveOccurred())
		Expect(dec.Verdict).To(Equal(VerdictReplay))
		sin.old = true
		clk.Advance(time.Minute)
		_, err = cla.Begin(ctx, logged, "f")
		Expect(err).To(refused(KindExpired))
		Expect(cla.Stats().Keys).To(BeZero())
	})
})
