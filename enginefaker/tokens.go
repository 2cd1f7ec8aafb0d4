package enginefaker

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswerTokens   = 16
	answerTokensRange = 240
	bytesPerToken     = 4
)

var words = strings.Fields(`amber arch balcony blue bright candle ceiling cue dawn dim dusk east fade floor
	gate glow gold green halt hall hold lamp level line low mast morning night north note outing pale platform
	red rest ring row scene seat slow soft south stage stop tier timetable track train violet warm west white`)

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the prompt text that an engine builds from the messages.
func Prompt(msgs []ChatMessage) string {
	var bld strings.Builder
	for _, msg := range msgs {
		bld.WriteString(msg.Role + "\n" + msg.Content + "\n")
	}
	return bld.String()
}

// AnswerTokens returns the tokens of the complete answer, which depends only on the messages; a positive maxTokens bounds their number.
func AnswerTokens(msgs []ChatMessage, maxTokens int) []string {
	seed := xxhash.Sum64String(Prompt(msgs))
	num := minAnswerTokens + int(seed%answerTokensRange)
	if maxTokens > 0 {
		num = min(num, maxTokens)
	}
	toks := make([]string, num)
	for idx := range toks {
		toks[idx] = token(seed, idx)
	}
	return toks
}

func token(seed uint64, idx int) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], uint64(idx))
	return words[xxhash.Sum64(buf[:])%uint64(len(words))] + " "
}

func promptTokens(prompt string) int {
	return len(prompt)/bytesPerToken + 1
}
