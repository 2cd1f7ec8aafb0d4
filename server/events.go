package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/streamer"
)

// eventSink writes tokens to the caller as server-sent events.
type eventSink struct {
	out  *echo.Response
	wat  *stopwatch
	head []byte
	buf  bytes.Buffer
}

func newEventSink(out *echo.Response, cal completer.Call, wat *stopwatch) *eventSink {
	name, _ := json.Marshal(cal.Model)
	head := `data: {"id":"` + cal.RequestID + `","object":"chat.completion.chunk","model":` + string(name) + `,"index":`
	return &eventSink{out: out, wat: wat, head: []byte(head)}
}

// Token writes one token and flushes it.
func (eve *eventSink) Token(index int, content []byte) error {
	eve.wat.token()
	eve.open()
	text, err := json.Marshal(string(content))
	if err != nil {
		return err
	}
	eve.buf.Reset()
	eve.buf.Write(eve.head)
	eve.buf.WriteString(strconv.Itoa(index))
	eve.buf.WriteString(`,"choices":[{"index":0,"delta":{"content":`)
	eve.buf.Write(text)
	eve.buf.WriteString("},\"finish_reason\":null}]}\n\n")
	return eve.flush()
}

func (eve *eventSink) open() {
	if eve.out.Committed {
		return
	}
	eve.out.Header().Set(echo.HeaderContentType, "text/event-stream")
	eve.out.Header().Set(echo.HeaderCacheControl, "no-cache")
	eve.out.WriteHeader(http.StatusOK)
}

func (eve *eventSink) flush() error {
	if _, err := eve.out.Write(eve.buf.Bytes()); err != nil {
		return err
	}
	eve.out.Flush()
	return nil
}

// end writes the usage and the end marker, which only a whole answer has.
func (eve *eventSink) end(res streamer.Result) error {
	eve.open()
	usage, err := json.Marshal(usageOf(res))
	if err != nil {
		return err
	}
	eve.buf.Reset()
	eve.buf.Write(eve.head)
	eve.buf.WriteString(strconv.Itoa(res.Tokens))
	eve.buf.WriteString(`,"choices":[{"index":0,"delta":{},"finish_reason":"`)
	eve.buf.WriteString(res.Finish)
	eve.buf.WriteString(`"}],"usage":`)
	eve.buf.Write(usage)
	eve.buf.WriteString("}\n\ndata: [DONE]\n\n")
	return eve.flush()
}

// fail writes a refusal into a stream that has begun; without an end marker the answer is not whole.
func (eve *eventSink) fail(ref refuser.Refusal) {
	eve.buf.Reset()
	eve.buf.WriteString("data: ")
	eve.buf.Write(ref.JSON())
	eve.buf.WriteString("\n\n")
	_ = eve.flush()
}
