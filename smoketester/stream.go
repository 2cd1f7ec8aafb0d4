package smoketester

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

// readStream reads a streamed answer to its end; it fails with ErrIncomplete.
func readStream(body io.Reader, requestID string) (*answer, error) {
	ans := &answer{requestID: requestID}
	scn := bufio.NewScanner(body)
	scn.Buffer(nil, maxEventSize)
	for scn.Scan() {
		data, event := strings.CutPrefix(scn.Text(), eventPrefix)
		if !event {
			continue
		}
		if err := ans.addEvent(strings.TrimSpace(data)); err != nil {
			return ans, err
		}
	}
	if err := scn.Err(); err != nil {
		return ans, incomplete("stream broke after %d tokens: %v", ans.tokens, err)
	}
	return ans, ans.checkComplete()
}

func (ans *answer) addEvent(data string) error {
	if ans.doneSeen {
		return incomplete("event after the end marker")
	}
	if data == endMarker {
		ans.doneSeen = true
		return nil
	}
	var chk chunk
	if err := json.Unmarshal([]byte(data), &chk); err != nil {
		return incomplete("event %q: %v", data, err)
	}
	return ans.addChunk(chk)
}

// readUnstreamed reads an answer sent in one piece; it fails with ErrIncomplete.
func readUnstreamed(body io.Reader, requestID string) (*answer, error) {
	ans := &answer{requestID: requestID}
	var msg chunk
	if err := json.NewDecoder(io.LimitReader(body, maxReplySize)).Decode(&msg); err != nil {
		return ans, incomplete("answer: %v", err)
	}
	if msg.ID != requestID {
		return ans, incomplete("answer to %q in place of %q", msg.ID, requestID)
	}
	if len(msg.Choices) != 1 || msg.Choices[0].FinishReason == nil || *msg.Choices[0].FinishReason != finishReasonStop {
		return ans, incomplete("answer without finish_reason stop")
	}
	if msg.Usage == nil || msg.Usage.CompletionTokens == 0 || msg.Choices[0].Message.Content == "" {
		return ans, incomplete("answer without text or usage")
	}
	ans.finished, ans.doneSeen, ans.usage = true, true, msg.Usage
	ans.tokens = msg.Usage.CompletionTokens
	ans.text.WriteString(msg.Choices[0].Message.Content)
	return ans, nil
}
