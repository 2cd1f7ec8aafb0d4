package trier

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

const (
	eventPrefix  = "data:"
	endMarker    = "[DONE]"
	maxEventSize = 1 << 20
)

// readStream reads a streamed answer to its end; it fails with ErrNotWhole.
func readStream(body io.Reader, requestID string) (*answer, error) {
	ans := &answer{requestID: requestID}
	scn := bufio.NewScanner(body)
	scn.Buffer(nil, maxEventSize)
	for scn.Scan() {
		data, event := strings.CutPrefix(scn.Text(), eventPrefix)
		if !event {
			continue
		}
		if err := ans.take(strings.TrimSpace(data)); err != nil {
			return ans, err
		}
	}
	if err := scn.Err(); err != nil {
		return ans, notWhole("stream broke after %d tokens: %v", ans.tokens, err)
	}
	return ans, ans.whole()
}

func (ans *answer) take(data string) error {
	if ans.ended {
		return notWhole("event after the end marker")
	}
	if data == endMarker {
		ans.ended = true
		return nil
	}
	var chk chunk
	if err := json.Unmarshal([]byte(data), &chk); err != nil {
		return notWhole("event %q: %v", data, err)
	}
	return ans.add(chk)
}

// readWhole reads an answer that is not streamed; it fails with ErrNotWhole.
func readWhole(body io.Reader, requestID string) (*answer, error) {
	ans := &answer{requestID: requestID}
	var msg chunk
	if err := json.NewDecoder(body).Decode(&msg); err != nil {
		return ans, notWhole("answer: %v", err)
	}
	if msg.ID != requestID {
		return ans, notWhole("answer to %q in place of %q", msg.ID, requestID)
	}
	if len(msg.Choices) != 1 || msg.Choices[0].FinishReason == nil || *msg.Choices[0].FinishReason != finishStop {
		return ans, notWhole("answer without its end")
	}
	if msg.Usage == nil || msg.Usage.CompletionTokens == 0 || msg.Choices[0].Message.Content == "" {
		return ans, notWhole("answer without text or usage")
	}
	ans.finished, ans.ended, ans.usage = true, true, msg.Usage
	ans.tokens = msg.Usage.CompletionTokens
	ans.text.WriteString(msg.Choices[0].Message.Content)
	return ans, nil
}
