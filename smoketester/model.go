package smoketester

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

const maxTokens = 48

// compose requests a streamed answer and checks that it is complete.
func (tri *Trial) compose(ctx context.Context, workspace string) error {
	ans, err := tri.ask(ctx, workspace, tri.workload.composeModel, tri.workload.composeFor(workspace), true)
	if err != nil {
		return err
	}
	tri.printf("%s: %s streamed %d tokens, request %s", workspace, tri.workload.composeModel, ans.tokens, ans.requestID)
	return nil
}

// summarize requests an unstreamed answer and compares it with the streamed answer to the same prompt.
func (tri *Trial) summarize(ctx context.Context, workspace string) error {
	ans, err := tri.ask(ctx, workspace, tri.workload.summarizeModel, tri.workload.summaryFor(workspace), false)
	if err != nil {
		return err
	}
	stm, err := tri.ask(ctx, workspace, tri.workload.summarizeModel, tri.workload.summaryFor(workspace), true)
	if err != nil {
		return err
	}
	if ans.text.String() != stm.text.String() || ans.tokens != stm.tokens {
		return incomplete("%d tokens in one piece, %d tokens in a stream of the same question", ans.tokens, stm.tokens)
	}
	tri.printf("%s: %s answered %d tokens, request %s", workspace, tri.workload.summarizeModel, ans.tokens, ans.requestID)
	return nil
}

func (tri *Trial) ask(ctx context.Context, workspace, model, text string, stream bool) (*answer, error) {
	body, err := json.Marshal(completionRequest{
		Model:     model,
		Messages:  []message{{Role: "user", Content: text}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return nil, errors.Annotate(err, "smoketester: encode request")
	}
	var ans *answer
	err = tri.call(ctx, request{
		method:    http.MethodPost,
		path:      "/v1/chat/completions",
		workspace: workspace,
		model:     model,
		body:      body,
		read: func(res *http.Response) error {
			ans, err = readAnswer(res, stream)
			return err
		},
	})
	return ans, err
}

func readAnswer(res *http.Response, stream bool) (*answer, error) {
	requestID := res.Header.Get("X-Request-Id")
	if requestID == "" {
		return nil, incomplete("response without X-Request-Id header")
	}
	if stream {
		return readStream(res.Body, requestID)
	}
	return readUnstreamed(res.Body, requestID)
}
