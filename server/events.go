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
	out    *echo.Response
	timer  *requestTimer
	prefix []byte
	buf    bytes.Buffer
}

func newEventSink(out *echo.Response, cal completer.Call, timer *requestTimer) *eventSink {
	name, _ := json.Marshal(cal.Model)
	prefix := `data: {"id":"` + cal.RequestID + `","object":"chat.completion.chunk","model":` + string(name) + `,"index":`
	return &eventSink{out: out, timer: timer, prefix: []byte(prefix)}
}

// Token writes one token as an event and flushes it.
func (eve *eventSink) Token(index int, content []byte) error {
	eve.timer.recordToken()
	eve.writeHeader()
	text, err := json.Marshal(string(content))
	if err != nil {
		return err
	}
	eve.buf.Reset()
	eve.buf.Write(eve.prefix)
	eve.buf.WriteString(strconv.Itoa(index))
	eve.buf.WriteString(`,"choices":[{"index":0,"delta":{"content":`)
	eve.buf.Write(text)
	eve.buf.WriteString("},\"finish_reason\":null}]}\n\n")
	return eve.flush()
}

func (eve *eventSink) writeHeader() {
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

// finish writes the usage and the end marker, which only a complete answer has.
func (eve *eventSink) finish(res streamer.Result) error {
	eve.writeHeader()
	usage, err := json.Marshal(usageOf(res))
	if err != nil {
		return err
	}
	eve.buf.Reset()
	eve.buf.Write(eve.prefix)
	eve.buf.WriteString(strconv.Itoa(res.Tokens))
	eve.buf.WriteString(`,"choices":[{"index":0,"delta":{},"finish_reason":"`)
	eve.buf.WriteString(res.Finish)
	eve.buf.WriteString(`"}],"usage":`)
	eve.buf.Write(usage)
	eve.buf.WriteString("}\n\ndata: [DONE]\n\n")
	return eve.flush()
}

// writeRefusal writes a refusal into a stream that has begun; without an end marker the caller can tell that the answer is incomplete.
func (eve *eventSink) writeRefusal(ref refuser.Refusal) {
	eve.buf.Reset()
	eve.buf.WriteString("data: ")
	eve.buf.Write(ref.JSON())
	eve.buf.WriteString("\n\n")
	_ = eve.flush()
}
