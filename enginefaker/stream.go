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

// streamFaults are the faults that apply to one stream.
type streamFaults struct {
	delay       time.Duration
	truncate    bool
	repeatChunk bool
	// source is the request whose ID and content the chunks carry; with the fault CrossAnswers it is an earlier request.
	source *job
}

type streamer struct {
	eng *engine
	wtr http.ResponseWriter
	ctx context.Context
	flt streamFaults
}

func (eng *engine) stream(wtr http.ResponseWriter, req *http.Request, jb *job) {
	stop := context.AfterFunc(req.Context(), func() { eng.cancel(func(other *job) bool { return other == jb }) })
	defer stop()
	str := streamer{eng: eng, wtr: wtr, ctx: req.Context(), flt: eng.takeStreamFaults(jb)}
	wtr.Header().Set("Content-Type", "text/event-stream")
	wtr.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(wtr).Flush()
	str.waitDelay()
	if str.sendTokens(jb) {
		str.sendEnd(jb)
	}
}

// takeStreamFaults returns the faults for a new stream and clears those that apply to one stream only.
func (eng *engine) takeStreamFaults(jb *job) streamFaults {
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	flt := &eng.flt
	flts := streamFaults{
		delay:    time.Duration(flt.LateAnswerMS) * time.Millisecond,
		truncate: flt.Truncate, repeatChunk: flt.RepeatChunk, source: jb,
	}
	if flt.CrossAnswers && eng.latestJob != nil {
		flts.source = eng.latestJob
		flt.CrossAnswers = false
	}
	flt.Truncate, flt.RepeatChunk = false, false
	eng.latestJob = jb
	return flts
}

func (str streamer) waitDelay() {
	if str.flt.delay <= 0 {
		return
	}
	select {
	case <-str.eng.sim.opt.Clock.After(str.flt.delay):
	case <-str.ctx.Done():
	}
}

// sendTokens sends the tokens as they are generated; it is false when the stream has to end without its final chunk.
func (str streamer) sendTokens(jb *job) bool {
	sent := 0
	for idx := range jb.out {
		if str.flt.truncate && sent > 0 {
			return false
		}
		str.send(str.chunk(idx))
		sent++
		if str.flt.repeatChunk {
			str.send(str.chunk(idx))
			str.flt.repeatChunk = false
		}
	}
	if str.eng.checkWithLock(func() bool { return jb.broken }) {
		panic(http.ErrAbortHandler)
	}
	return !str.flt.truncate
}

func (str streamer) chunk(idx int) chunk {
	toks := str.flt.source.tokens
	text := ""
	if idx < len(toks) {
		text = toks[idx]
	}
	return chunk{
		ID: str.flt.source.id, Object: "chat.completion.chunk", Index: idx,
		Choices: []choice{{Delta: delta{Content: text}}},
	}
}

func (str streamer) sendEnd(jb *job) {
	reason := "stop"
	last := str.chunk(len(jb.tokens))
	last.Choices[0] = choice{FinishReason: &reason}
	last.Usage = &usage{
		PromptTokens: jb.promptTokens, CompletionTokens: len(jb.tokens), TotalTokens: jb.promptTokens + len(jb.tokens),
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
	str.eng.machine.WaitWhilePaused(str.ctx)
	if str.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = str.wtr.Write([]byte("data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(str.wtr).Flush()
}
