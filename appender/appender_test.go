package appender

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/follower"
	"github.com/lovagelever/lovagelever/recorder"
)

var suite *testing.T

func TestAppender(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "appender")
}

// fakeLog loses the first answers, appends the record at the given attempt, and returns its result a second later.
type fakeLog struct {
	mtx         sync.Mutex
	lostAnswers int
	appendedAt  int
	sent        []string
	appended    chan struct{}
}

func (fak *fakeLog) Append(_ context.Context, rec recorder.Record) (int64, error) {
	fak.mtx.Lock()
	defer fak.mtx.Unlock()
	fak.sent = append(fak.sent, rec.ID)
	if len(fak.sent) == fak.appendedAt {
		close(fak.appended)
	}
	if len(fak.sent) <= fak.lostAnswers {
		return 0, errors.Timeoutf("log")
	}
	return 7, nil
}

func (fak *fakeLog) WaitVerdict(ctx context.Context, id string) (follower.Verdict, error) {
	select {
	case <-ctx.Done():
		return follower.Verdict{}, ctx.Err()
	case <-fak.appended:
		time.Sleep(time.Second)
		return follower.Verdict{Offset: 7}, nil
	}
}

var _ = Describe("Append", func() {
	cases := []struct {
		name        string
		lostAnswers int
		appendedAt  int
		sent        int
		unknown     bool
	}{
		{"returns the result when the record is read back", 0, 1, 1, false},
		{"retries until an answer arrives", 2, 3, 3, false},
		{"returns the result when the record is read back though every answer is lost", 1000, 1, 4, false},
		{"returns ErrOutcomeUnknown when the context ends before the record is read back", 0, 0, 1, true},
		{"returns ErrOutcomeUnknown when the context ends and every answer is lost", 1000, 0, 34, true},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				fak := &fakeLog{lostAnswers: cas.lostAnswers, appendedAt: cas.appendedAt, appended: make(chan struct{})}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				jud, err := New(fak, fak, clockwork.NewRealClock()).Append(ctx, recorder.Record{ID: "one"})
				Expect(errors.Is(err, ErrOutcomeUnknown)).To(Equal(cas.unknown))
				if !cas.unknown {
					Expect(err).NotTo(HaveOccurred())
					Expect(jud.Offset).To(BeEquivalentTo(7))
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				Expect(fak.sent).To(HaveLen(cas.sent))
				Expect(fak.sent).To(HaveEach("one"))
			})
		})
	}
})
