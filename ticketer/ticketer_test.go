package ticketer

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

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
)

var suite *testing.T

func TestTicketer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "ticketer")
}

// remoteHome is the home at another entry: it grants a ticket after delay, and the answers to the first lostAnswers calls of Release and Withdraw are lost.
type remoteHome struct {
	mtx         sync.Mutex
	view        *reducer.View
	delay       time.Duration
	admitErr    error
	refuse      bool
	lostAnswers int
	leaveAfter  int
	withdrawn   []WithdrawRequest
	released    []ReleaseRequest
	calls       []time.Time
}

func newRemoteHome() *remoteHome {
	mem := reducer.Member{Member: recorder.Member{Name: "e2", Incarnation: "i2", RPCAddress: "there"}}
	return &remoteHome{view: &reducer.View{
		Members: map[string]reducer.Member{"i2": mem},
		Homes:   map[string]reducer.Home{"g": {Incarnation: "i2"}},
	}}
}

func (hom *remoteHome) options() Options {
	return Options{View: hom.currentView, Self: func() string { return "i1" }, RemoteHomes: hom, Clock: clockwork.NewRealClock()}
}

func (hom *remoteHome) currentView() *reducer.View {
	hom.mtx.Lock()
	defer hom.mtx.Unlock()
	return hom.view
}

func (hom *remoteHome) Admit(ctx context.Context, _ string, req admitter.Request) (keeper.Admission, error) {
	select {
	case <-ctx.Done():
		return keeper.Admission{}, messenger.ErrUnreachable
	case <-time.After(hom.delay):
	}
	if hom.refuse {
		ref := refuser.NotRun("full", time.Second)
		return keeper.Admission{Refusal: &ref}, nil
	}
	return keeper.Admission{Ticket: admitter.Ticket{ID: "t " + req.Holder, Fence: 4, ValidFor: 2 * time.Second}, Waited: 300 * time.Millisecond}, hom.admitErr
}

// recordCall records a call, fails the first lostAnswers calls, and removes the home from the members at call number leaveAfter.
func (hom *remoteHome) recordCall() error {
	hom.calls = append(hom.calls, time.Now())
	if len(hom.calls) == hom.leaveAfter {
		hom.view = &reducer.View{}
	}
	if len(hom.calls) <= hom.lostAnswers {
		return messenger.ErrUnreachable
	}
	return nil
}

func (hom *remoteHome) Release(_ context.Context, _ string, req ReleaseRequest) error {
	hom.mtx.Lock()
	defer hom.mtx.Unlock()
	hom.released = append(hom.released, req)
	return hom.recordCall()
}

func (hom *remoteHome) Withdraw(_ context.Context, _ string, req WithdrawRequest) error {
	hom.mtx.Lock()
	defer hom.mtx.Unlock()
	hom.withdrawn = append(hom.withdrawn, req)
	return hom.recordCall()
}

// inBubble declares a spec that runs in a synctest bubble, where time is virtual.
func inBubble(name string, body func()) {
	It(name, func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	})
}

var _ = Describe("acquiring a ticket", func() {
	req := admitter.Request{ID: "r.0", Unit: "g", Within: time.Second}
	cases := []struct {
		name      string
		admitErr  error
		delay     time.Duration
		refuse    bool
		withdrawn int
	}{
		{"withdraws a request whose answer is lost", messenger.ErrUnreachable, 0, false, 3},
		{"withdraws a request whose answer arrives after the timeout", nil, time.Minute, false, 3},
		{"withdraws a request that failed at the home", errors.NotValidf("answer"), 0, false, 3},
		{"does not withdraw a request that was not sent", errors.WithType(errors.Timeoutf("dial"), messenger.ErrNotSent), 0, false, 0},
		{"does not withdraw a request that was refused", nil, 0, true, 0},
	}
	for _, cas := range cases {
		inBubble(cas.name, func() {
			hom := newRemoteHome()
			hom.admitErr, hom.delay, hom.refuse, hom.lostAnswers = cas.admitErr, cas.delay, cas.refuse, 2
			_, err := New(hom.options()).Acquire(context.Background(), req)
			Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
			time.Sleep(time.Minute)
			synctest.Wait()
			Expect(hom.withdrawn).To(HaveLen(cas.withdrawn))
			for _, wit := range hom.withdrawn {
				Expect(wit).To(Equal(WithdrawRequest{Unit: "g", RequestID: "r.0"}))
			}
		})
	}

	inBubble("measures the validity of a ticket from the time of the request, by the clock of the holder", func() {
		hom := newRemoteHome()
		hom.delay = 500 * time.Millisecond
		asked := time.Now()
		hel, err := New(hom.options()).Acquire(context.Background(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(hel.DispatchBefore).To(Equal(asked.Add(2300 * time.Millisecond)))
		Expect(hel.ticketID).To(Equal("t i1"))
	})

	inBubble("refuses a request for a unit without a home", func() {
		hom := newRemoteHome()
		_, err := New(hom.options()).Acquire(context.Background(), admitter.Request{Unit: "other"})
		Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
	})
})

var _ = Describe("releasing a ticket", func() {
	cases := []struct {
		name        string
		lostAnswers int
		leaveAfter  int
		calls       int
	}{
		{"stops at the first answer", 0, 0, 1},
		{"retries until the home answers", 7, 0, 8},
		{"stops when the home is no longer a member", 1000, 4, 4},
	}
	for _, cas := range cases {
		inBubble(cas.name, func() {
			hom := newRemoteHome()
			hom.lostAnswers, hom.leaveAfter = cas.lostAnswers, cas.leaveAfter
			tic := New(hom.options())
			hel, err := tic.Acquire(context.Background(), admitter.Request{Unit: "g", Within: time.Second})
			Expect(err).NotTo(HaveOccurred())
			out := limiter.Outcome{Broken: true, FirstToken: time.Second}
			begun := time.Now()
			tic.Release(hel, out)
			Expect(time.Since(begun)).To(BeZero())
			time.Sleep(time.Hour)
			synctest.Wait()
			Expect(hom.calls).To(HaveLen(cas.calls))
			for num, rel := range hom.released {
				Expect(rel).To(Equal(ReleaseRequest{TicketID: hel.ticketID, Outcome: out}))
				if num > 0 {
					Expect(hom.calls[num].Sub(hom.calls[num-1])).To(BeNumerically("<=", maxRetryDelay))
				}
			}
		})
	}
})
