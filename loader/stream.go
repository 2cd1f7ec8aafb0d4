package loader

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

// StreamChecker checks a streamed answer against the tokens in Want, calls back at the first token, and counts the tokens that matched.
type StreamChecker struct {
	Want         []string
	OnFirstToken func()
	Tokens       int
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Read reads the stream to its end and returns OutcomeBroken unless it held exactly the expected tokens, a finish reason and the end marker.
func (str *StreamChecker) Read(body io.Reader) string {
	finished := false
	scn := bufio.NewScanner(body)
	for scn.Scan() {
		data, event := strings.CutPrefix(scn.Text(), "data: ")
		if !event {
			continue
		}
		if data == "[DONE]" {
			return str.outcome(finished)
		}
		var chk chunk
		if err := json.Unmarshal([]byte(data), &chk); err != nil || len(chk.Choices) != 1 {
			return OutcomeBroken
		}
		if chk.Choices[0].FinishReason != nil {
			finished = true
			continue
		}
		if !str.acceptToken(chk.Choices[0].Delta.Content) {
			return OutcomeBroken
		}
	}
	return OutcomeBroken
}

func (str *StreamChecker) acceptToken(content string) bool {
	if str.Tokens >= len(str.Want) || content != str.Want[str.Tokens] {
		return false
	}
	if str.Tokens == 0 && str.OnFirstToken != nil {
		str.OnFirstToken()
	}
	str.Tokens++
	return true
}

func (str *StreamChecker) outcome(finished bool) string {
	if finished && str.Tokens == len(str.Want) {
		return OutcomeComplete
	}
	return OutcomeBroken
}
