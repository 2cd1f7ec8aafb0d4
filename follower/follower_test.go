package follower_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/logcaller"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestFollower(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follower")
}

// shelf is a log that forgets, and may be out.
type shelf struct {
	entries []recorder.Entry
	first   int64
	out     bool
}

func (she *shelf) Read(_ context.Context, from int64, limit int, _ time.Duration) (logcaller.Page, error) {
	next := int64(len(she.entries)) + 1
	switch {
	case she.out:
		return logcaller.Page{}, logcaller.ErrUnavailable
	case from < she.first:
		return logcaller.Page{}, &logcaller.GoneError{First: she.first, Next: next}
	}
	pag := logcaller.Page{First: she.first, Next: next}
	if from < next {
		pag.Entries = she.entries[from-1 : min(int(from)-1+limit, len(she.entries))]
	}
	return pag, nil
}

func (she *shelf) add(kind recorder.Kind, body any) {
	rec, err := recorder.New(time.Now(), kind, "", body)
	Expect(err).NotTo(HaveOccurred())
	she.entries = append(she.entries, recorder.Entry{Offset: int64(len(she.entries)) + 1, At: time.Now(), Record: rec})
}

func (she *shelf) fill(count int) {
	for range count {
		she.add("later", nil)
	}
}

// state folds all that was ever in the log.
func (she *shelf) state() *reducer.State {
	sta := reducer.NewState()
	for _, ent := range she.entries {
		sta.Apply(ent)
	}
	return sta
}

func (she *shelf) snapshot() recorder.Snapshot {
	sna, err := she.state().Encode()
	Expect(err).NotTo(HaveOccurred())
	return sna
}

type peer struct{ sna *recorder.Snapshot }

func (pee peer) Snapshot(context.Context) (recorder.Snapshot, error) {
	if pee.sna == nil {
		return recorder.Snapshot{}, logcaller.ErrUnavailable
	}
	return *pee.sna, nil
}

var _ = Describe("Follower", func() {
	var she *shelf
	ctx := context.Background()

	follow := func(pee peer) *follower.Follower {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		return follower.New(follower.Options{Log: she, Peers: pee, Clock: clockwork.NewFakeClock(), Logger: quiet})
	}

	steps := func(fol *follower.Follower, count int) {
		for range count {
			_ = fol.Step(ctx, 0)
		}
	}

	BeforeEach(func() { she = &shelf{first: 1} })

	It("folds a log from its first record", func() {
		she.fill(1200)
		fol := follow(peer{})
		steps(fol, 4)
		from, founded := fol.Founded()
		Expect(founded).To(BeTrue())
		Expect(from).To(Equal(follower.BootLog))
		Expect(fol.View().Chain).To(Equal(she.state().Chain))
		Expect(fol.Contact()).NotTo(BeZero())
	})

	It("starts from a snapshot where the first records are gone", func() {
		she.fill(20)
		sna := she.snapshot()
		she.fill(5)
		she.add(recorder.KindSnapshot, sna)
		she.fill(7)
		she.first = 15
		fol := follow(peer{})
		steps(fol, 3)
		from, _ := fol.Founded()
		Expect(from).To(Equal(follower.BootSnapshot))
		Expect(fol.View().Chain).To(Equal(she.state().Chain))
	})

	It("stays without a state while there is neither a first record nor a snapshot", func() {
		she.fill(20)
		she.first = 15
		fol := follow(peer{})
		steps(fol, 5)
		_, founded := fol.Founded()
		Expect(founded).To(BeFalse())
		Expect(fol.Contact()).To(BeZero())
	})

	It("heals a gap by a later snapshot, and passes on no tail that has a hole", func() {
		she.fill(10)
		fol := follow(peer{})
		steps(fol, 2)
		she.fill(30)
		sna := she.snapshot()
		she.add(recorder.KindSnapshot, sna)
		she.fill(3)
		she.first = 38
		steps(fol, 4)
		Expect(fol.View().Chain).To(Equal(she.state().Chain))
		_, held := fol.Tail(5, 100)
		Expect(held).To(BeFalse())
		tail, held := fol.Tail(41, 100)
		Expect(held).To(BeTrue())
		Expect(tail).To(HaveLen(3))
	})

	It("never goes back to an older state of a peer", func() {
		she.fill(10)
		old := she.snapshot()
		she.fill(10)
		fol := follow(peer{sna: &old})
		steps(fol, 2)
		she.fill(30)
		she.first = 45
		steps(fol, 3)
		Expect(fol.View().Offset).To(Equal(int64(20)))
		Expect(fol.Adopt(old)).To(Succeed())
		Expect(fol.View().Offset).To(Equal(int64(20)))
	})

	It("is not kept from a snapshot in the log by a peer's state from before the gap", func() {
		she.fill(10)
		old := she.snapshot()
		she.fill(30)
		sna := she.snapshot()
		she.add(recorder.KindSnapshot, sna)
		she.first = 35
		fol := follow(peer{sna: &old})
		for range 4 {
			steps(fol, 1)
			Expect(fol.Adopt(old)).To(Succeed())
		}
		Expect(fol.View().Chain).To(Equal(she.state().Chain))
	})

	It("takes a peer's state while the log is out, and is in no contact with the log by that", func() {
		she.fill(12)
		sna := she.snapshot()
		she.out = true
		fol := follow(peer{sna: &sna})
		Expect(fol.Adopt(sna)).To(Succeed())
		steps(fol, 2)
		from, _ := fol.Founded()
		Expect(from).To(Equal(follower.BootPeer))
		Expect(fol.View().Offset).To(Equal(int64(12)))
		Expect(fol.Contact()).To(BeZero())
	})

	It("takes records from a peer, and contact as the peer had it", func() {
		she.fill(12)
		fol := follow(peer{})
		steps(fol, 2)
		she.fill(4)
		contact := fol.Contact().Add(time.Second)
		fol.Relay(she.entries[12:14], 16, contact)
		Expect(fol.Contact()).To(BeTemporally("<", contact))
		fol.Relay(she.entries[14:], 16, contact)
		Expect(fol.Contact()).To(Equal(contact))
		Expect(fol.View().Chain).To(Equal(she.state().Chain))
	})
})
