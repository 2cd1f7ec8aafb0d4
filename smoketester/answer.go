package smoketester

import (
	"strings"

	"github.com/juju/errors"
)

const finishReasonStop = "stop"

// completionRequest is the body of a chat completion request.
type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string   `json:"id"`
	Index   int      `json:"index"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Delta        message `json:"delta"`
	Message      message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

// answer is the part of a model's answer received so far; finished means a finish_reason of stop, doneSeen the [DONE] event.
type answer struct {
	requestID string
	text      strings.Builder
	tokens    int
	finished  bool
	doneSeen  bool
	usage     *usage
}

// addChunk appends the next chunk of a stream; it fails with ErrIncomplete if the request ID, the index or the order is wrong.
func (ans *answer) addChunk(chk chunk) error {
	if chk.ID != ans.requestID {
		return incomplete("chunk of request %q in the answer to %q", chk.ID, ans.requestID)
	}
	if ans.finished || len(chk.Choices) != 1 {
		return incomplete("chunk with %d choices after %d tokens, finished: %t", len(chk.Choices), ans.tokens, ans.finished)
	}
	cho := chk.Choices[0]
	if cho.Delta.Content != "" {
		if chk.Index != ans.tokens {
			return incomplete("token index %d, expected %d", chk.Index, ans.tokens)
		}
		ans.tokens++
		ans.text.WriteString(cho.Delta.Content)
	}
	if cho.FinishReason != nil {
		ans.finished = *cho.FinishReason == finishReasonStop
		ans.usage = chk.Usage
	}
	return nil
}

// checkComplete fails with ErrIncomplete unless the end marker was received and usage counts the tokens received.
func (ans *answer) checkComplete() error {
	if !ans.finished || !ans.doneSeen {
		return incomplete("no end after %d tokens", ans.tokens)
	}
	if ans.usage == nil || ans.tokens == 0 {
		return incomplete("%d tokens, usage given: %t", ans.tokens, ans.usage != nil)
	}
	if ans.usage.CompletionTokens != ans.tokens {
		return incomplete("usage counts %d tokens, %d were seen", ans.usage.CompletionTokens, ans.tokens)
	}
	return nil
}

func incomplete(format string, args ...any) error {
	return errors.Annotatef(ErrIncomplete, format, args...)
}
