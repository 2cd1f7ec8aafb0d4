package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/invoker"
	"github.com/lovagelever/lovagelever/limiter"
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

// sure gives every ticket at once.
type sure struct{ *node }

func (sur sure) Take(context.Context, admitter.Request) (ticketer.Held, error) {
	return ticketer.Held{Until: time.Now().Add(time.Second)}, nil
}

func (sur sure) Give(ticketer.Held, limiter.Outcome) {}
