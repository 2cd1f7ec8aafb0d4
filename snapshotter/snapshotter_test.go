package snapshotter

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestSnapshotter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "snapshotter")
}

// folded is a state that counts what is appended from it.
type folded struct {
	view     reducer.View
	fail     error
	lost     error
	appended []recorder.Record
}

func (fol *folded) View() *reducer.View { return &fol.view }

func (fol *folded) Snapshot() (recorder.Snapshot, error) {
	return recorder.Snapshot{Covers: fol.view.Offset}, fol.fail
}

func (fol *folded) Append(_ context.Context, rec recorder.Record) (follower.Judged, error) {
	fol.appended = append(fol.appended, rec)
	return follower.Judged{}, fol.lost
}

var _ = Describe("a snapshot", func() {
	cases := []struct {
		name     string
		duty     string
		offset   int64
		fail     error
		lost     error
		appended int
		fails    bool
	}{
		{"is appended when due", "own", 110, nil, nil, 1, false},
		{"waits until enough records came", "own", 109, nil, nil, 0, false},
		{"is left to the entry on duty", "other", 1000, nil, nil, 0, false},
		{"that cannot be encoded is not appended", "own", 110, errors.NotValidf("state"), nil, 0, true},
		{"with a lost answer is a failure", "own", 110, nil, errors.Timeoutf("log"), 1, true},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			fol := &folded{fail: cas.fail, lost: cas.lost}
			fol.view.Snapshots.Incarnation = cas.duty
			fol.view.Offset, fol.view.Covered = cas.offset, 10
			quiet := logrus.New()
			quiet.SetOutput(io.Discard)
			sna := New(Options{State: fol, Self: func() string { return "own" }, Appender: fol, Clock: clockwork.NewFakeClock(), Logger: quiet, Every: 100})
			err := sna.Check(context.Background())
			Expect(err != nil).To(Equal(cas.fails))
			Expect(fol.appended).To(HaveLen(cas.appended))
			for _, rec := range fol.appended {
				Expect(rec.Kind).To(Equal(recorder.KindSnapshot))
				Expect(rec.Writer).To(Equal("own"))
			}
		})
	}

	It("is appended in time, however few records came", func() {
		fol := &folded{}
		fol.view.Snapshots.Incarnation = "own"
		fol.view.Offset, fol.view.Covered = 11, 10
		clk := clockwork.NewFakeClock()
		sna := New(Options{State: fol, Self: func() string { return "own" }, Appender: fol, Clock: clk, Logger: logrus.New(), Every: 100, Within: time.Hour})
		Expect(sna.Check(context.Background())).To(Succeed())
		clk.Advance(59 * time.Minute)
		Expect(sna.Check(context.Background())).To(Succeed())
		Expect(fol.appended).To(BeEmpty())
		clk.Advance(time.Minute)
		Expect(sna.Check(context.Background())).To(Succeed())
		Expect(fol.appended).To(HaveLen(1))
	})
})
