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

// changingService fails every call after it may have run, and changes the list of idempotent methods during each call.
type changingService struct {
	*node
	methods []string
	next    []string
	calls   []bool
}

func (cha *changingService) view() *reducer.View {
	return &reducer.View{Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{Services: map[string]cataloger.Service{"desk": {Idempotent: cha.methods}}}}}
}

func (cha *changingService) Invoke(_ context.Context, cal invoker.Call) (invoker.Response, error) {
	cha.calls = append(cha.calls, cal.Repeatable)
	cha.methods = cha.next
	return invoker.Response{}, &invoker.MayHaveRunError{Cause: errors.Timeoutf("service")}
}

var _ = Describe("the list of idempotent methods", func() {
	cases := []struct {
		name    string
		methods []string
		next    []string
		calls   []bool
	}{
		{"allows retries of a listed method", []string{"POST"}, []string{"POST"}, []bool{true, true, true}},
		{"allows one run of any other method", nil, nil, []bool{false}},
		{"applies to a call as it was when the call started", nil, []string{"POST"}, []bool{false}},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := newWorld(0)
				cha := &changingService{node: wor.entries[0], methods: cas.methods, next: cas.next}
				fwd := New(Options{View: cha.view, Candidates: candidates, Tickets: sure{cha.node}, Services: cha, Balancer: balancer.New(nil, 1), Clock: clockwork.NewRealClock(), MaxQueueTime: time.Second})
				ans := fwd.Forward(context.Background(), Call{RequestID: "one", Service: "desk", Method: "POST", Within: time.Second})
				Expect(ans.Refusal.Type).To(Equal(refuser.TypeOutcomeUnknown))
				Expect(cha.calls).To(Equal(cas.calls))
			})
		})
	}
})

// sure grants every ticket immediately.
type sure struct{ *node }

func (sur sure) Acquire(context.Context, admitter.Request) (ticketer.HeldTicket, error) {
	return ticketer.HeldTicket{DispatchBefore: time.Now().Add(time.Second)}, nil
}

func (sur sure) Release(ticketer.HeldTicket, limiter.Outcome) {}

// timedService records the deadline of a call.
type timedService struct{ until time.Time }

func (tim *timedService) Invoke(ctx context.Context, _ invoker.Call) (invoker.Response, error) {
	tim.until, _ = ctx.Deadline()
	return invoker.Response{Status: 200}, nil
}

// Forward records the deadline that a forwarded call has at the other entry.
func (tim *timedService) Forward(_ context.Context, _ string, cal Call) (Answer, error) {
	tim.until = time.Now().Add(cal.Within)
	return Answer{}, nil
}

var _ = Describe("the time limit of a call", func() {
	cases := []struct {
		name  string
		owner int
	}{
		{"includes the time spent claiming the key", 0},
		{"includes the time before the call is forwarded", 1},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			synctest.Test(suite, func(*testing.T) {
				defer GinkgoRecover()
				wor := newWorld(0)
				nod, tim := wor.entries[0], &timedService{}
				fwd := New(Options{
					View: nod.view, Candidates: candidates, Claimer: nod.claimer, Tickets: sure{nod}, Services: tim, Entries: tim,
					Balancer: balancer.New(nil, 1), Clock: clockwork.NewRealClock(), MaxQueueTime: time.Second,
				})
				key := uuid.Must(uuid.NewV7()).String()
				if cas.owner > 0 {
					wor.propose(recorder.KindClaims, wor.entries[cas.owner].inc, recorder.Claims{Claims: []recorder.Claim{{Key: key, IssuedMS: time.Now().UnixMilli()}}})
				}
				time.AfterFunc(time.Second, func() {
					wor.mtx.Lock()
					defer wor.mtx.Unlock()
					nod.applyLog(wor.log)
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
