package completer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/streamer"
	"github.com/lovagelever/lovagelever/ticketer"
)

const benchTokens = 1000

// staticEngine answers every request with the same complete stream.
type staticEngine struct{ body []byte }

func newStaticEngine() staticEngine {
	var out bytes.Buffer
	for num := range benchTokens {
		_, _ = fmt.Fprintf(&out, `data: {"id":"hall","index":%d,"choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}`+"\n\n", num)
	}
	_, _ = fmt.Fprintf(&out, `data: {"id":"hall","index":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`+"\n\ndata: [DONE]\n\n", benchTokens, benchTokens, benchTokens+1)
	return staticEngine{body: out.Bytes()}
}

func (ste staticEngine) RoundTrip(req *http.Request) (*http.Response, error) {
	if tra := httptrace.ContextClientTrace(req.Context()); tra != nil {
		tra.GotConn(httptrace.GotConnInfo{})
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(ste.body))}, nil
}

type discardSink struct{}

func (discardSink) Token(int, []byte) error { return nil }

func reportPerToken(b *testing.B) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

func BenchmarkComplete(b *testing.B) {
	ste := newStaticEngine()
	wor := newWorld(0)
	opt := wor.com.opt
	opt.Engines = streamer.New(&http.Client{Transport: ste})
	opt.Tickets = free{wor}
	com := New(opt)
	b.SetBytes(int64(len(ste.body)))
	b.ReportAllocs()
	for b.Loop() {
		cal := Call{RequestID: "hall", Content: []byte("hall"), Body: []byte("hall"), Deadline: time.Now().Add(time.Minute)}
		if _, err := com.Complete(context.Background(), cal, discardSink{}); err != nil {
			b.Fatal(err)
		}
	}
	reportPerToken(b)
}

func BenchmarkPlainCopy(b *testing.B) {
	ste := newStaticEngine()
	cli := &http.Client{Transport: ste}
	buf := make([]byte, streamer.MaxLine)
	b.SetBytes(int64(len(ste.body)))
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://engine/", bytes.NewReader([]byte("hall")))
		if err != nil {
			b.Fatal(err)
		}
		res, err := cli.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{res.Body}, buf); err != nil {
			b.Fatal(err)
		}
		_ = res.Body.Close()
	}
	reportPerToken(b)
}

// free grants every ticket immediately.
type free struct{ *world }

func (free) Acquire(_ context.Context, req admitter.Request) (ticketer.HeldTicket, error) {
	return ticketer.HeldTicket{Unit: req.Unit, Fence: req.Fence, DispatchBefore: time.Now().Add(time.Second)}, nil
}

func (free) Release(ticketer.HeldTicket, limiter.Outcome) {}
