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

// fakeLog is a log that retains records from the offset first on and can be made unavailable.
type fakeLog struct {
	entries     []recorder.Entry
	first       int64
	unavailable bool
}

func (fak *fakeLog) Read(_ context.Context, from int64, limit int, _ time.Duration) (logcaller.Page, error) {
	next := int64(len(fak.entries)) + 1
	switch {
	case fak.unavailable:
		return logcaller.Page{}, logcaller.ErrUnavailable
	case from < fak.first:
		return logcaller.Page{}, &logcaller.GoneError{First: fak.first, Next: next}
	}
	pag := logcaller.Page{First: fak.first, Next: next}
	if from < next {
		pag.Entries = fak.entries[from-1 : min(int(from)-1+limit, len(fak.entries))]
	}
	return pag, nil
}

func (fak *fakeLog) add(kind recorder.Kind, body any) {
	rec, err := recorder.New(time.Now(), kind, "", body)
	Expect(err).NotTo(HaveOccurred())
	fak.entries = append(fak.entries, recorder.Entry{Offset: int64(len(fak.entries)) + 1, At: time.Now(), Record: rec})
}

func (fak *fakeLog) fill(count int) {
	for range count {
		fak.add("later", nil)
	}
}

// state applies all records that were ever in the log.
func (fak *fakeLog) state() *reducer.State {
	sta := reducer.NewState()
	for _, ent := range fak.entries {
		sta.Apply(ent)
	}
	return sta
}

func (fak *fakeLog) snapshot() recorder.Snapshot {
	sna, err := fak.state().Encode()
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
	var fak *fakeLog
	ctx := context.Background()

	follow := func(pee peer) *follower.Follower {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		return follower.New(follower.Options{Log: fak, Peers: pee, Clock: clockwork.NewFakeClock(), Logger: quiet})
	}

	steps := func(fol *follower.Follower, count int) {
		for range count {
			_ = fol.ReadAndApply(ctx, 0)
		}
	}

	BeforeEach(func() { fak = &fakeLog{first: 1} })

	It("applies a log from its first record", func() {
		fak.fill(1200)
		fol := follow(peer{})
		steps(fol, 4)
		from, bootstrapped := fol.Bootstrapped()
		Expect(bootstrapped).To(BeTrue())
		Expect(from).To(Equal(follower.BootLog))
		Expect(fol.View().ChainHash).To(Equal(fak.state().ChainHash))
		Expect(fol.LastContact()).NotTo(BeZero())
	})

	It("starts from a snapshot when the first records are no longer retained", func() {
		fak.fill(20)
		sna := fak.snapshot()
		fak.fill(5)
		fak.add(recorder.KindSnapshot, sna)
		fak.fill(7)
		fak.first = 15
		fol := follow(peer{})
		steps(fol, 3)
		from, _ := fol.Bootstrapped()
		Expect(from).To(Equal(follower.BootSnapshot))
		Expect(fol.View().ChainHash).To(Equal(fak.state().ChainHash))
	})

	It("has no state while the log has neither its first record nor a snapshot", func() {
		fak.fill(20)
		fak.first = 15
		fol := follow(peer{})
		steps(fol, 5)
		_, bootstrapped := fol.Bootstrapped()
		Expect(bootstrapped).To(BeFalse())
		Expect(fol.LastContact()).To(BeZero())
	})

	It("skips a gap with a later snapshot, and returns no tail that spans the gap", func() {
		fak.fill(10)
		fol := follow(peer{})
		steps(fol, 2)
		fak.fill(30)
		sna := fak.snapshot()
		fak.add(recorder.KindSnapshot, sna)
		fak.fill(3)
		fak.first = 38
		steps(fol, 4)
		Expect(fol.View().ChainHash).To(Equal(fak.state().ChainHash))
		_, held := fol.Tail(5, 100)
		Expect(held).To(BeFalse())
		tail, held := fol.Tail(41, 100)
		Expect(held).To(BeTrue())
		Expect(tail).To(HaveLen(3))
	})

	It("ignores a peer's state that is older than its own", func() {
		fak.fill(10)
		old := fak.snapshot()
		fak.fill(10)
		fol := follow(peer{sna: &old})
		steps(fol, 2)
		fak.fill(30)
		fak.first = 45
		steps(fol, 3)
		Expect(fol.View().Offset).To(Equal(int64(20)))
		Expect(fol.InstallSnapshot(old)).To(Succeed())
		Expect(fol.View().Offset).To(Equal(int64(20)))
	})

	It("finds a snapshot in the log even if peers keep offering a state from before the gap", func() {
		fak.fill(10)
		old := fak.snapshot()
		fak.fill(30)
		sna := fak.snapshot()
		fak.add(recorder.KindSnapshot, sna)
		fak.first = 35
		fol := follow(peer{sna: &old})
		for range 4 {
			steps(fol, 1)
			Expect(fol.InstallSnapshot(old)).To(Succeed())
		}
		Expect(fol.View().ChainHash).To(Equal(fak.state().ChainHash))
	})

	It("installs a peer's state while the log is unavailable, without counting it as contact with the log", func() {
		fak.fill(12)
		sna := fak.snapshot()
		fak.unavailable = true
		fol := follow(peer{sna: &sna})
		Expect(fol.InstallSnapshot(sna)).To(Succeed())
		steps(fol, 2)
		from, _ := fol.Bootstrapped()
		Expect(from).To(Equal(follower.BootPeer))
		Expect(fol.View().Offset).To(Equal(int64(12)))
		Expect(fol.LastContact()).To(BeZero())
	})

	It("applies records from a peer, and takes over the peer's time of contact with the log", func() {
		fak.fill(12)
		fol := follow(peer{})
		steps(fol, 2)
		fak.fill(4)
		contact := fol.LastContact().Add(time.Second)
		fol.ApplyRelayed(fak.entries[12:14], 16, contact)
		Expect(fol.LastContact()).To(BeTemporally("<", contact))
		fol.ApplyRelayed(fak.entries[14:], 16, contact)
		Expect(fol.LastContact()).To(Equal(contact))
		Expect(fol.View().ChainHash).To(Equal(fak.state().ChainHash))
	})
})
