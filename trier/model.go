package trier

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

const maxTokens = 48

// compose asks for a streamed answer and checks that it is whole.
func (tri *Trial) compose(ctx context.Context, workspace string) error {
	ans, err := tri.ask(ctx, workspace, tri.work.author, tri.work.composeFor(workspace), true)
	if err != nil {
		return err
	}
	tri.say("%s: %s streamed %d tokens, request %s", workspace, tri.work.author, ans.tokens, ans.requestID)
	return nil
}

// summarize asks for an answer in one piece and checks it against a stream of the same question.
func (tri *Trial) summarize(ctx context.Context, workspace string) error {
	ans, err := tri.ask(ctx, workspace, tri.work.summarizer, tri.work.summaryFor(workspace), false)
	if err != nil {
		return err
	}
	stm, err := tri.ask(ctx, workspace, tri.work.summarizer, tri.work.summaryFor(workspace), true)
	if err != nil {
		return err
	}
	if ans.text.String() != stm.text.String() || ans.tokens != stm.tokens {
		return notWhole("%d tokens in one piece, %d tokens in a stream of the same question", ans.tokens, stm.tokens)
	}
	tri.say("%s: %s answered %d tokens, request %s", workspace, tri.work.summarizer, ans.tokens, ans.requestID)
	return nil
}

func (tri *Trial) ask(ctx context.Context, workspace, model, text string, stream bool) (*answer, error) {
	body, err := json.Marshal(question{
		Model:     model,
		Messages:  []message{{Role: "user", Content: text}},
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	if err != nil {
		return nil, errors.Annotate(err, "trier: encode question")
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
		return nil, notWhole("no X-Request-Id")
	}
	if stream {
		return readStream(res.Body, requestID)
	}
	return readWhole(res.Body, requestID)
}
