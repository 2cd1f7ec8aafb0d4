package enginefaker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Index   int      `json:"index"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// twist is what the faults do to one stream.
type twist struct {
	late     time.Duration
	truncate bool
	repeat   bool
	// shown is the request whose ID and content the chunks carry.
	shown *job
}

type streamer struct {
	eng *engine
	wtr http.ResponseWriter
	ctx context.Context
	twi twist
}

func (eng *engine) stream(wtr http.ResponseWriter, req *http.Request, jb *job) {
	stop := context.AfterFunc(req.Context(), func() { eng.cancel(func(other *job) bool { return other == jb }) })
	defer stop()
	str := streamer{eng: eng, wtr: wtr, ctx: req.Context(), twi: eng.takeTwist(jb)}
	wtr.Header().Set("Content-Type", "text/event-stream")
	wtr.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(wtr).Flush()
	str.hold()
	if str.tokens(jb) {
		str.end(jb)
	}
}

// takeTwist uses up the faults that last for one stream.
func (eng *engine) takeTwist(jb *job) twist {
	eng.fkr.mut.Lock()
	defer eng.fkr.mut.Unlock()
	flt := &eng.flt
	twi := twist{
		late:     time.Duration(flt.LateAnswerMS) * time.Millisecond,
		truncate: flt.Truncate, repeat: flt.RepeatChunk, shown: jb,
	}
	if flt.CrossAnswers && eng.latest != nil {
		twi.shown = eng.latest
		flt.CrossAnswers = false
	}
	flt.Truncate, flt.RepeatChunk = false, false
	eng.latest = jb
	return twi
}

func (str streamer) hold() {
	if str.twi.late <= 0 {
		return
	}
	select {
	case <-str.eng.fkr.opt.Clock.After(str.twi.late):
	case <-str.ctx.Done():
	}
}

// tokens sends the tokens as they come; it is false when the stream has to end at once.
func (str streamer) tokens(jb *job) bool {
	sent := 0
	for idx := range jb.out {
		if str.twi.truncate && sent > 0 {
			return false
		}
		str.send(str.chunk(idx))
		sent++
		if str.twi.repeat {
			str.send(str.chunk(idx))
			str.twi.repeat = false
		}
	}
	if str.eng.is(func() bool { return jb.broken }) {
		panic(http.ErrAbortHandler)
	}
	return !str.twi.truncate
}

func (str streamer) chunk(idx int) chunk {
	toks := str.twi.shown.tokens
	text := ""
	if idx < len(toks) {
		text = toks[idx]
	}
	return chunk{
		ID: str.twi.shown.id, Object: "chat.completion.chunk", Index: idx,
		Choices: []choice{{Delta: delta{Content: text}}},
	}
}

func (str streamer) end(jb *job) {
	reason := "stop"
	last := str.chunk(len(jb.tokens))
	last.Choices[0] = choice{FinishReason: &reason}
	last.Usage = &usage{
		PromptTokens: jb.prompt, CompletionTokens: len(jb.tokens), TotalTokens: jb.prompt + len(jb.tokens),
	}
	str.send(last)
	str.write([]byte("[DONE]"))
}

func (str streamer) send(chk chunk) {
	data, err := json.Marshal(chk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	str.write(data)
}

func (str streamer) write(data []byte) {
	str.eng.machine.Wait(str.ctx)
	if str.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = str.wtr.Write([]byte("data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(str.wtr).Flush()
}
