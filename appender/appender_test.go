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

// journal loses the first answers, lands a record at the given attempt, and is read back a second later.
type journal struct {
	mtx    sync.Mutex
	lost   int
	landAt int
	sent   []string
	landed chan struct{}
}

func (jou *journal) Append(_ context.Context, rec recorder.Record) (int64, error) {
	jou.mtx.Lock()
	defer jou.mtx.Unlock()
	jou.sent = append(jou.sent, rec.ID)
	if len(jou.sent) == jou.landAt {
		close(jou.landed)
	}
	if len(jou.sent) <= jou.lost {
		return 0, errors.Timeoutf("log")
	}
	return 7, nil
}

func (jou *journal) WaitJudged(ctx context.Context, id string) (follower.Judged, error) {
	select {
	case <-ctx.Done():
		return follower.Judged{}, ctx.Err()
	case <-jou.landed:
		time.Sleep(time.Second)
		return follower.Judged{Offset: 7}, nil
	}
}

var _ = Describe("an append", func() {
	cases := []struct {
		name    string
		lost    int
		landAt  int
		sent    int
		unknown bool
	}{
		{"is settled by reading back", 0, 1, 1, false},
		{"is sent again until its answer comes", 2, 3, 3, false},
		{"is settled by reading back when every answer is lost", 1000, 1, 4, false},
		{"is unknown when the context ends before it is read back", 0, 0, 1, true},
		{"is unknown when the context ends and every answer is lost", 1000, 0, 34, true},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				jou := &journal{lost: cas.lost, landAt: cas.landAt, landed: make(chan struct{})}
				ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
				defer stop()
				jud, err := New(jou, jou, clockwork.NewRealClock()).Append(ctx, recorder.Record{ID: "one"})
				Expect(errors.Is(err, ErrUnknown)).To(Equal(cas.unknown))
				if !cas.unknown {
					Expect(err).NotTo(HaveOccurred())
					Expect(jud.Offset).To(BeEquivalentTo(7))
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				Expect(jou.sent).To(HaveLen(cas.sent))
				Expect(jou.sent).To(HaveEach("one"))
			})
		})
	}
})
