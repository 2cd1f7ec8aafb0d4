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

// fakeState is a state and an appender that collects the appended records.
type fakeState struct {
	view      reducer.View
	encodeErr error
	appendErr error
	appended  []recorder.Record
}

func (fak *fakeState) View() *reducer.View { return &fak.view }

func (fak *fakeState) Snapshot() (recorder.Snapshot, error) {
	return recorder.Snapshot{Covers: fak.view.Offset}, fak.encodeErr
}

func (fak *fakeState) Append(_ context.Context, rec recorder.Record) (follower.Verdict, error) {
	fak.appended = append(fak.appended, rec)
	return follower.Verdict{}, fak.appendErr
}

var _ = Describe("Check", func() {
	cases := []struct {
		name      string
		assignee  string
		offset    int64
		encodeErr error
		appendErr error
		appended  int
		wantErr   bool
	}{
		{"appends a snapshot that is due", "own", 110, nil, nil, 1, false},
		{"appends nothing before enough records have been applied", "own", 109, nil, nil, 0, false},
		{"appends nothing if another entry is assigned", "other", 1000, nil, nil, 0, false},
		{"fails and appends nothing if the state can't be encoded", "own", 110, errors.NotValidf("state"), nil, 0, true},
		{"fails if the append times out", "own", 110, nil, errors.Timeoutf("log"), 1, true},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			fak := &fakeState{encodeErr: cas.encodeErr, appendErr: cas.appendErr}
			fak.view.Snapshotter.Incarnation = cas.assignee
			fak.view.Offset, fak.view.SnapshotOffset = cas.offset, 10
			quiet := logrus.New()
			quiet.SetOutput(io.Discard)
			sna := New(Options{State: fak, Self: func() string { return "own" }, Appender: fak, Clock: clockwork.NewFakeClock(), Logger: quiet, EveryRecords: 100})
			err := sna.Check(context.Background())
			Expect(err != nil).To(Equal(cas.wantErr))
			Expect(fak.appended).To(HaveLen(cas.appended))
			for _, rec := range fak.appended {
				Expect(rec.Kind).To(Equal(recorder.KindSnapshot))
				Expect(rec.Writer).To(Equal("own"))
			}
		})
	}

	It("appends a snapshot after the maximum interval, however few records were applied", func() {
		fak := &fakeState{}
		fak.view.Snapshotter.Incarnation = "own"
		fak.view.Offset, fak.view.SnapshotOffset = 11, 10
		clk := clockwork.NewFakeClock()
		sna := New(Options{State: fak, Self: func() string { return "own" }, Appender: fak, Clock: clk, Logger: logrus.New(), EveryRecords: 100, MaxInterval: time.Hour})
		Expect(sna.Check(context.Background())).To(Succeed())
		clk.Advance(59 * time.Minute)
		Expect(sna.Check(context.Background())).To(Succeed())
		Expect(fak.appended).To(BeEmpty())
		clk.Advance(time.Minute)
		Expect(sna.Check(context.Background())).To(Succeed())
		Expect(fak.appended).To(HaveLen(1))
	})
})
