package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lovagelever/lovagelever/completer"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/streamer"
)

const (
	defaultMaxTokens = 256
	largestMaxTokens = 1 << 16
)

// chatRequest holds the fields of a chat completion that the entry reads; other fields pass to the engine unchanged.
type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (srv *Server) complete(ctx echo.Context) error {
	workspace, err := srv.checkCaller(ctx)
	if err != nil {
		return err
	}
	data, release, err := srv.readBody(ctx)
	if err != nil {
		return err
	}
	defer release()
	cal, chat, err := srv.chatCall(workspace, data)
	if err != nil {
		return err
	}
	limit, err := srv.timeout(ctx)
	if err != nil {
		return err
	}
	cal.Deadline = srv.clock.Now().Add(limit)
	cal.RequestID = requestID(ctx)
	srv.inFlight.Add(1)
	defer srv.inFlight.Done()
	timer := srv.startTimer(workspace, classModel)
	if chat.Stream {
		return srv.completeStream(ctx, cal, timer)
	}
	return srv.completeWhole(ctx, cal, timer)
}

func (srv *Server) chatCall(workspace string, data []byte) (completer.Call, chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(data, &chat); err != nil {
		return completer.Call{}, chat, refuser.Invalid("the body is not a chat completion: " + err.Error())
	}
	inv := srv.view().Catalog.Inventory
	if _, known := inv.Models[chat.Model]; !known || !allowed(chat.Model, inv.Workspaces[workspace].Models) {
		return completer.Call{}, chat, refuser.NotFound("model " + quoted(chat.Model) + " is not open to the workspace")
	}
	if len(chat.Messages) == 0 || chat.Messages[0] != '[' {
		return completer.Call{}, chat, refuser.Invalid("messages must be a list")
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > largestMaxTokens {
		return completer.Call{}, chat, refuser.Invalid("max_tokens must be from 0 to " + strconv.Itoa(largestMaxTokens))
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = defaultMaxTokens
	}
	body, err := engineBody(data, chat)
	if err != nil {
		return completer.Call{}, chat, err
	}
	return completer.Call{
		Workspace:   workspace,
		Model:       chat.Model,
		Prompt:      string(chat.Messages),
		MaxTokens:   chat.MaxTokens,
		Content:     chat.Messages,
		Body:        body,
		PromptParts: promptParts(chat.Messages),
	}, chat, nil
}

// promptParts returns the subjects of the messages but the last, which belongs to the request; messages that cannot be read have none.
func promptParts(list json.RawMessage) []string {
	var messages []json.RawMessage
	if err := json.Unmarshal(list, &messages); err != nil {
		return nil
	}
	var out []string
	for num := 0; num < len(messages)-1 && num < quarantiner.MaxParts; num++ {
		var text bytes.Buffer
		if json.Compact(&text, messages[num]) == nil {
			out = append(out, quarantiner.Part(text.Bytes()))
		}
	}
	return out
}

// engineBody returns the body for the engine, which always requests a stream and states max_tokens.
func engineBody(data []byte, chat chatRequest) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, refuser.Invalid("the body is not a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(chat.MaxTokens))
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, refuser.Invalid("the body could not be passed on")
	}
	return body, nil
}

// tokenCollector joins the tokens of an answer that is not streamed to the caller.
type tokenCollector struct {
	text  strings.Builder
	timer *requestTimer
}

// Token appends one token.
func (col *tokenCollector) Token(_ int, content []byte) error {
	col.timer.recordToken()
	_, err := col.text.Write(content)
	return err
}

func (srv *Server) completeWhole(ctx echo.Context, cal completer.Call, timer *requestTimer) error {
	col := &tokenCollector{timer: timer}
	res, err := srv.completer.Complete(ctx.Request().Context(), cal, col)
	timer.finish(err)
	if err != nil {
		return err
	}
	return ctx.JSON(http.StatusOK, wholeAnswer(cal, col.text.String(), res))
}

func wholeAnswer(cal completer.Call, text string, res streamer.Result) map[string]any {
	return map[string]any{
		"id":     cal.RequestID,
		"object": "chat.completion",
		"model":  cal.Model,
		"choices": []map[string]any{{
			"index":         0,
			"message":       map[string]string{"role": "assistant", "content": text},
			"finish_reason": res.Finish,
		}},
		"usage": usageOf(res),
	}
}

func usageOf(res streamer.Result) map[string]int {
	return map[string]int{
		"prompt_tokens":     res.PromptTokens,
		"completion_tokens": res.Tokens,
		"total_tokens":      res.PromptTokens + res.Tokens,
	}
}

func (srv *Server) completeStream(ctx echo.Context, cal completer.Call, timer *requestTimer) error {
	eve := newEventSink(ctx.Response(), cal, timer)
	res, err := srv.completer.Complete(ctx.Request().Context(), cal, eve)
	timer.finish(err)
	if err == nil {
		return eve.finish(res)
	}
	if !ctx.Response().Committed {
		return err
	}
	eve.writeRefusal(refuser.FromError(err).WithRequestID(cal.RequestID))
	return nil
}
