package trier

import (
	"strings"

	"github.com/juju/errors"
)

const finishStop = "stop"

// question is the body of a request to a model.
type question struct {
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

// answer is what a model has said so far.
type answer struct {
	requestID string
	text      strings.Builder
	tokens    int
	finished  bool
	ended     bool
	usage     *usage
}

// add takes the next chunk of a stream; it fails with ErrNotWhole.
func (ans *answer) add(chk chunk) error {
	if chk.ID != ans.requestID {
		return notWhole("chunk of request %q in the answer to %q", chk.ID, ans.requestID)
	}
	if ans.finished || len(chk.Choices) != 1 {
		return notWhole("chunk with %d choices after %d tokens, finished: %t", len(chk.Choices), ans.tokens, ans.finished)
	}
	cho := chk.Choices[0]
	if cho.Delta.Content != "" {
		if chk.Index != ans.tokens {
			return notWhole("index %d where %d was next", chk.Index, ans.tokens)
		}
		ans.tokens++
		ans.text.WriteString(cho.Delta.Content)
	}
	if cho.FinishReason != nil {
		ans.finished = *cho.FinishReason == finishStop
		ans.usage = chk.Usage
	}
	return nil
}

// whole checks that the end marker came and that the count of usage is that of the tokens seen.
func (ans *answer) whole() error {
	if !ans.finished || !ans.ended {
		return notWhole("no end after %d tokens", ans.tokens)
	}
	if ans.usage == nil || ans.tokens == 0 {
		return notWhole("%d tokens, usage given: %t", ans.tokens, ans.usage != nil)
	}
	if ans.usage.CompletionTokens != ans.tokens {
		return notWhole("usage counts %d tokens, %d were seen", ans.usage.CompletionTokens, ans.tokens)
	}
	return nil
}

func notWhole(format string, args ...any) error {
	return errors.Annotatef(ErrNotWhole, format, args...)
}
