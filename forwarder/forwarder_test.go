package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/invoker"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/ticketer"
)

// changing is a service whose calls get lost, and whose list of idempotent methods is changed during each.
type changing struct {
	*node
	methods []string
	next    []string
	calls   []bool
}

func (cha *changing) view() *reducer.View {
	return &reducer.View{Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{Services: map[string]cataloger.Service{"desk": {Idempotent: cha.methods}}}}}
}

func (cha *changing) Invoke(_ context.Context, cal invoker.Call) (invoker.Response, error) {
	cha.calls = append(cha.calls, cal.Repeatable)
	cha.methods = cha.next
	return invoker.Response{}, &invoker.MayHaveRunError{Cause: errors.Timeoutf("service")}
}

var _ = Describe("the list of idempotent methods", func() {
	cases := []struct {
		name  string
		now   []string
		next  []string
		calls []bool
	}{
		{"lets a call be repeated", []string{"POST"}, []string{"POST"}, []bool{true, true, true}},
		{"lets others run once", nil, nil, []bool{false}},
		{"binds a call as it was when the call began", nil, []string{"POST"}, []bool{false}},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := newWorld(0)
				cha := &changing{node: wor.entries[0], methods: cas.now, next: cas.next}
				fwd := New(Options{View: cha.view, Candidates: candidates, Tickets: sure{cha.node}, Services: cha, Balancer: balancer.New(nil, 1), Clock: clockwork.NewRealClock(), Queue: time.Second})
				ans := fwd.Forward(context.Background(), Call{RequestID: "one", Service: "desk", Method: "POST", Within: time.Second})
				Expect(ans.Refusal.Type).To(Equal(refuser.TypeOutcomeUnknown))
				Expect(cha.calls).To(Equal(cas.calls))
			})
		})
	}
})

// sure grants every ticket at once.
type sure struct{ *node }

func (sur sure) Acquire(context.Context, admitter.Request) (ticketer.HeldTicket, error) {
	return ticketer.HeldTicket{DispatchBefore: time.Now().Add(time.Second)}, nil
}

func (sur sure) Release(ticketer.HeldTicket, limiter.Outcome) {}

// timed is a service that notes until when a call may run.
type timed struct{ until time.Time }

func (tim *timed) Invoke(ctx context.Context, _ invoker.Call) (invoker.Response, error) {
	tim.until, _ = ctx.Deadline()
	return invoker.Response{Status: 200}, nil
}

// Forward notes until when the other entry may run the call.
func (tim *timed) Forward(_ context.Context, _ string, cal Call) (Answer, error) {
	tim.until = time.Now().Add(cal.Within)
	return Answer{}, nil
}

var _ = Describe("the limit of a call", func() {
	cases := []struct {
		name  string
		owner int
	}{
		{"includes the wait for its claim", 0},
		{"includes the wait before it is passed on", 1},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := newWorld(0)
				nod, tim := wor.entries[0], &timed{}
				fwd := New(Options{
					View: nod.view, Candidates: candidates, Claimer: nod.claimer, Tickets: sure{nod}, Services: tim, Entries: tim,
					Balancer: balancer.New(nil, 1), Clock: clockwork.NewRealClock(), Queue: time.Second,
				})
				key := uuid.Must(uuid.NewV7()).String()
				if cas.owner > 0 {
					wor.propose(recorder.KindClaims, wor.entries[cas.owner].inc, recorder.Claims{Claims: []recorder.Claim{{Key: key, IssuedMS: time.Now().UnixMilli()}}})
				}
				time.AfterFunc(time.Second, func() {
					wor.mtx.Lock()
					defer wor.mtx.Unlock()
					nod.fold(wor.log)
				})
				begun := time.Now()
				ans := fwd.Forward(context.Background(), Call{RequestID: "one", Service: "desk", Method: "POST", Key: key, Within: 5 * time.Second})
				Expect(ans.Refusal).To(BeNil())
				Expect(time.Since(begun)).To(Equal(time.Second))
				Expect(tim.until).To(Equal(begun.Add(5 * time.Second)))
			})
		})
	}
})
