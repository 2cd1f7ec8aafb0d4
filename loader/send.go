package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/enginefaker"
	"github.com/lovagelever/lovagelever/requester"
)

// Outcomes of requests; a refused request has the type of its refusal instead.
const (
	OutcomeComplete = "whole"
	OutcomeLate     = "late"
	OutcomeBroken   = "broken"
	OutcomeLost     = "lost"
	// OutcomeNoEntry means that no entry could be located or connected to.
	OutcomeNoEntry = "no_entry"
)

const maxErrorBodySize = 1 << 20

type completionRequest struct {
	Model     string                    `json:"model"`
	Messages  []enginefaker.ChatMessage `json:"messages"`
	MaxTokens int                       `json:"max_tokens"`
	Stream    bool                      `json:"stream"`
}

// ask sends a request to a model and checks the streamed answer token by token.
func (loa *Loader) ask(ctx context.Context, tas task, sam *Sample, begun time.Time) {
	model := loa.model(tas)
	que := completionRequest{
		Model:     model,
		Messages:  []enginefaker.ChatMessage{{Role: "user", Content: loa.prompt(tas)}},
		MaxTokens: loa.opt.MaxTokens,
		Stream:    true,
	}
	body, err := json.Marshal(que)
	if err != nil {
		sam.Outcome = OutcomeBroken
		return
	}
	loc, err := loa.loc.locate(ctx, tas.workspace, model)
	if err != nil && loc.Entry == "" {
		sam.Outcome = OutcomeNoEntry
		return
	}
	res, err := loa.post(ctx, loc, "/v1/chat/completions", tas.workspace, "", body)
	if err != nil {
		sam.Outcome = transportOutcome(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		sam.Outcome = refusalType(res)
		return
	}
	str := StreamChecker{Want: enginefaker.AnswerTokens(que.Messages, que.MaxTokens), OnFirstToken: func() { sam.FirstToken = loa.opt.Clock.Since(begun) }}
	sam.Outcome = str.Read(res.Body)
	sam.Tokens = str.Tokens
}

// call sends a call to the service; issued and claimed calls have an idempotency key and may run at most once.
func (loa *Loader) call(ctx context.Context, tas task, sam *Sample) {
	loc, err := loa.loc.locate(ctx, tas.workspace, "")
	if err != nil && loc.Entry == "" {
		sam.Outcome = OutcomeNoEntry
		return
	}
	id, err := uuid.NewV7()
	if err != nil {
		sam.Outcome = OutcomeBroken
		return
	}
	switch tas.kind {
	case KindIssued:
		sam.Key = loc.KeyPrefix + "/" + id.String()
	case KindClaimed:
		sam.Key = id.String()
	}
	res, err := loa.post(ctx, loc, "/v1/services/"+loa.opt.Service+"/lights/switch", tas.workspace, sam.Key, []byte(`{"state":"on"}`))
	if err != nil {
		sam.Outcome = transportOutcome(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		sam.Outcome = refusalType(res)
		return
	}
	sam.Outcome = OutcomeComplete
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		sam.Outcome = OutcomeBroken
	}
}

// post sends a request to the located entry, and to the second one only if connecting to the first failed.
func (loa *Loader) post(ctx context.Context, loc requester.Location, path, workspace, key string, body []byte) (*http.Response, error) {
	var res *http.Response
	var err error
	for _, address := range []string{loc.Entry, loc.FallbackEntry} {
		if address == "" {
			continue
		}
		res, err = loa.sendTo(ctx, address, path, workspace, key, body)
		if err == nil || transportOutcome(err) != OutcomeNoEntry {
			return res, err
		}
	}
	return res, err
}

func (loa *Loader) sendTo(ctx context.Context, address, path, workspace, key string, body []byte) (*http.Response, error) {
	method := http.MethodPost
	if key == "" && path != "/v1/chat/completions" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotate(err, "loader: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Workspace", workspace)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := loa.cli.Do(req)
	return res, errors.Annotate(err, "loader: send")
}
