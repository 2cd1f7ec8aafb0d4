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

// home is a home elsewhere; it takes delay for a ticket and loses the first lost answers of each other call.
type home struct {
	mtx       sync.Mutex
	view      *reducer.View
	delay     time.Duration
	fail      error
	refuse    bool
	lost      int
	goneAfter int
	withdrawn []WithdrawRequest
	released  []ReleaseRequest
	calls     []time.Time
}

func newHome() *home {
	mem := reducer.Member{Member: recorder.Member{Name: "e2", Incarnation: "i2", RPCAddress: "there"}}
	return &home{view: &reducer.View{
		Members: map[string]reducer.Member{"i2": mem},
		Homes:   map[string]reducer.Home{"g": {Incarnation: "i2"}},
	}}
}

func (hom *home) options() Options {
	return Options{View: hom.seen, Self: func() string { return "i1" }, Homes: hom, Clock: clockwork.NewRealClock()}
}

func (hom *home) seen() *reducer.View {
	hom.mtx.Lock()
	defer hom.mtx.Unlock()
	return hom.view
}

func (hom *home) Admit(ctx context.Context, _ string, req admitter.Request) (keeper.Admission, error) {
	select {
	case <-ctx.Done():
		return keeper.Admission{}, messenger.ErrUnreachable
	case <-time.After(hom.delay):
	}
	if hom.refuse {
		ref := refuser.NotRun("full", time.Second)
		return keeper.Admission{Refusal: &ref}, nil
	}
	return keeper.Admission{Ticket: admitter.Ticket{ID: "t " + req.Holder, Fence: 4, ValidFor: 2 * time.Second}, Waited: 300 * time.Millisecond}, hom.fail
}

// answered counts a call, loses its answer at first, and lets the home leave after some.
func (hom *home) answered() error {
	hom.calls = append(hom.calls, time.Now())
	if len(hom.calls) == hom.goneAfter {
		hom.view = &reducer.View{}
	}
	if len(hom.calls) <= hom.lost {
		return messenger.ErrUnreachable
	}
	return nil
}

func (hom *home) Release(_ context.Context, _ string, req ReleaseRequest) error {
	hom.mtx.Lock()
	defer hom.mtx.Unlock()
	hom.released = append(hom.released, req)
	return hom.answered()
}

func (hom *home) Withdraw(_ context.Context, _ string, req WithdrawRequest) error {
	hom.mtx.Lock()
	defer hom.mtx.Unlock()
	hom.withdrawn = append(hom.withdrawn, req)
	return hom.answered()
}

func inBubble(name string, body func()) {
	It(name, func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	})
}

var _ = Describe("asking for a ticket", func() {
	req := admitter.Request{ID: "r.0", Unit: "g", Within: time.Second}
	cases := []struct {
		name      string
		fail      error
		delay     time.Duration
		refuse    bool
		withdrawn int
	}{
		{"withdraws one whose answer is lost", messenger.ErrUnreachable, 0, false, 3},
		{"withdraws one whose answer comes too late", nil, time.Minute, false, 3},
		{"withdraws one that failed at the home", errors.NotValidf("answer"), 0, false, 3},
		{"withdraws nothing that was not sent", errors.WithType(errors.Timeoutf("dial"), messenger.ErrNotSent), 0, false, 0},
		{"withdraws nothing that was refused", nil, 0, true, 0},
	}
	for _, cas := range cases {
		inBubble(cas.name, func() {
			hom := newHome()
			hom.fail, hom.delay, hom.refuse, hom.lost = cas.fail, cas.delay, cas.refuse, 2
			_, err := New(hom.options()).Take(context.Background(), req)
			Expect(refuser.From(err).Type).To(Equal(refuser.TypeNotRun))
			time.Sleep(time.Minute)
			synctest.Wait()
			Expect(hom.withdrawn).To(HaveLen(cas.withdrawn))
			for _, wit := range hom.withdrawn {
				Expect(wit).To(Equal(WithdrawRequest{Unit: "g", RequestID: "r.0"}))
			}
		})
	}

	inBubble("counts its validity from when it was asked for, on the own clock", func() {
		hom := newHome()
		hom.delay = 500 * time.Millisecond
		asked := time.Now()
		hel, err := New(hom.options()).Take(context.Background(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(hel.Until).To(Equal(asked.Add(2300 * time.Millisecond)))
		Expect(hel.ticketID).To(Equal("t i1"))
	})

	inBubble("is refused without a home", func() {
		hom := newHome()
		_, err := New(hom.options()).Take(context.Background(), admitter.Request{Unit: "other"})
		Expect(refuser.From(err).Type).To(Equal(refuser.TypeNotRun))
	})
})

var _ = Describe("giving a ticket back", func() {
	cases := []struct {
		name      string
		lost      int
		goneAfter int
		calls     int
	}{
		{"ends with the first answer", 0, 0, 1},
		{"goes on until the home answers", 7, 0, 8},
		{"ends when the home is gone", 1000, 4, 4},
	}
	for _, cas := range cases {
		inBubble(cas.name, func() {
			hom := newHome()
			hom.lost, hom.goneAfter = cas.lost, cas.goneAfter
			tic := New(hom.options())
			hel, err := tic.Take(context.Background(), admitter.Request{Unit: "g", Within: time.Second})
			Expect(err).NotTo(HaveOccurred())
			out := limiter.Outcome{Broken: true, FirstToken: time.Second}
			begun := time.Now()
			tic.Give(hel, out)
			Expect(time.Since(begun)).To(BeZero())
			time.Sleep(time.Hour)
			synctest.Wait()
			Expect(hom.calls).To(HaveLen(cas.calls))
			for num, rel := range hom.released {
				Expect(rel).To(Equal(ReleaseRequest{TicketID: hel.ticketID, Outcome: out}))
				if num > 0 {
					Expect(hom.calls[num].Sub(hom.calls[num-1])).To(BeNumerically("<=", giveBackMost))
				}
			}
		})
	}
})
