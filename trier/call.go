package trier

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
)

const (
	callTimeout    = 30 * time.Second
	callTries      = 5
	shortestPause  = 200 * time.Millisecond
	longestPause   = 2 * time.Second
	maxRefusalSize = 1 << 20
)

// request is one request of a workspace; read takes a successful answer.
type request struct {
	method    string
	path      string
	workspace string
	model     string
	key       string
	body      []byte
	read      func(*http.Response) error
}

// call asks where to send the request and sends it, again only after it was refused as not run.
func (tri *Trial) call(ctx context.Context, req request) error {
	for try := 1; ; try++ {
		loc, err := tri.requester.Locate(ctx, req.workspace, req.model)
		if err != nil {
			return err
		}
		err = tri.send(ctx, loc.Entry, req)
		ref, refused := errors.AsType[*requester.Refusal](err)
		again := refused && ref.Type == requester.RefusedNotRun && try < callTries
		if !again {
			return err
		}
		tri.say("%s: not run, tried again: %s", req.workspace, ref.Message)
		if err := tri.pause(ctx, time.Duration(ref.RetryAfterMS)*time.Millisecond); err != nil {
			return err
		}
	}
}

func (tri *Trial) send(ctx context.Context, address string, req request) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg, err := http.NewRequestWithContext(ctx, req.method, "http://"+address+req.path, bytes.NewReader(req.body))
	if err != nil {
		return errors.Annotate(err, "trier: request")
	}
	msg.Header.Set("Content-Type", "application/json")
	msg.Header.Set("X-Workspace", req.workspace)
	if req.key != "" {
		msg.Header.Set("Idempotency-Key", req.key)
	}
	res, err := tri.client.Do(msg)
	if err != nil {
		return errors.Annotatef(err, "trier: entry %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Annotatef(refusalOf(res), "trier: entry %s", address)
	}
	return errors.Annotatef(req.read(res), "trier: entry %s", address)
}

func refusalOf(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalSize))
	if err != nil {
		return errors.WithType(err, ErrRefused)
	}
	var body struct {
		Error requester.Refusal `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil {
		body.Error.Body = string(data)
	}
	body.Error.Status = res.StatusCode
	return errors.WithType(&body.Error, ErrRefused)
}

func (tri *Trial) pause(ctx context.Context, dur time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "trier: pause")
	case <-tri.Clock.After(min(max(dur, shortestPause), longestPause)):
		return nil
	}
}
