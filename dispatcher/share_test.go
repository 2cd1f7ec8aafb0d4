package dispatcher_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/sharer"
)

// shares records the requests that a dispatcher reports, and refuses those of one workspace.
type shares struct {
	over    string
	started []sharer.Request
	refused []sharer.Request
}

func (sha *shares) Admit(req sharer.Request) error {
	if req.Workspace == sha.over {
		return refuser.ShareExceeded("over its share", time.Second)
	}
	return nil
}

func (sha *shares) RecordStarted(req sharer.Request) { sha.started = append(sha.started, req) }
func (sha *shares) RecordRefused(req sharer.Request) { sha.refused = append(sha.refused, req) }

var _ = Describe("Dispatcher with shares of workspaces", func() {
	It("asks once for each request, and reports what started and what found no room", func() {
		clk, sha := clockwork.NewFakeClock(), &shares{over: "large"}
		dis := dispatcher.New(dispatcher.Options{Zone: "z", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk}), Shares: sha})
		dis.SetUnits([]dispatcher.Unit{unit("a", "z", 1), unit("b", "z", 1)})
		acquire := func(workspace string, exclude ...string) error {
			_, err := dis.Acquire(context.Background(), dispatcher.Request{
				ID: fmt.Sprint(workspace, exclude), Pool: pool, Workspace: workspace, Priority: 2, Size: estimator.Request{PromptTokens: 700, AnswerTokens: 100},
				Cost: 1, Exclude: exclude, StartBy: clk.Now(), Deadline: clk.Now().Add(time.Minute),
			})
			return err
		}
		Expect(acquire("large")).To(HaveOccurred())
		Expect(acquire("large", "a")).To(Succeed(), "it was admitted before")
		Expect(acquire("small")).To(Succeed())
		Expect(acquire("other")).To(HaveOccurred())
		want := sharer.Request{Pool: pool, Priority: 2, Workspace: "small", Work: 800}
		Expect(sha.started).To(Equal([]sharer.Request{want}))
		want.Workspace = "other"
		Expect(sha.refused).To(Equal([]sharer.Request{want}))
	})
})
