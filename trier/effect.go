package trier

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const maxReply = 1 << 20

// reply is the service's answer to one send of a call.
type reply struct {
	body     string
	replayed bool
}

// runCounts is the stand-in's count of runs for each idempotency key.
type runCounts struct {
	Runs map[string]int `json:"runs"`
}

// effect makes a call that may not be repeated, sends it once more with the same key, and returns the key.
func (tri *Trial) effect(ctx context.Context, workspace string) (string, error) {
	key, err := tri.issueKey(ctx, workspace)
	if err != nil {
		return "", err
	}
	first, err := tri.callService(ctx, workspace, key)
	if err != nil {
		return key, err
	}
	again, err := tri.callService(ctx, workspace, key)
	if err != nil {
		return key, err
	}
	if first.replayed || !again.replayed || first.body != again.body {
		return key, errors.Annotatef(ErrNotOnce, "first %+v, again %+v", first, again)
	}
	tri.say("%s: %s ran key %s, the second send was answered from the first", workspace, tri.work.service, key)
	return key, nil
}

func (tri *Trial) issueKey(ctx context.Context, workspace string) (string, error) {
	loc, err := tri.requester.Locate(ctx, workspace, "")
	if err != nil {
		return "", err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Annotate(err, "trier: make key")
	}
	return loc.KeyPrefix + "/" + id.String(), nil
}

func (tri *Trial) callService(ctx context.Context, workspace, key string) (reply, error) {
	var rep reply
	err := tri.call(ctx, request{
		method:    http.MethodPost,
		path:      "/v1/services/" + tri.work.service + fmt.Sprintf(tri.work.path, workspace),
		workspace: workspace,
		key:       key,
		body:      fmt.Appendf(nil, tri.work.body, workspace),
		read: func(res *http.Response) error {
			data, err := io.ReadAll(io.LimitReader(res.Body, maxReply))
			rep = reply{body: string(data), replayed: res.Header.Get("X-Replayed") == "true"}
			return errors.Annotate(err, "trier: reply")
		},
	})
	return rep, err
}

// counts asks the service's stand-in how often it ran each key.
func (tri *Trial) counts(ctx context.Context) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tri.ServiceControl+"/v1/counts", http.NoBody)
	if err != nil {
		return nil, errors.Annotate(err, "trier: counts")
	}
	res, err := tri.client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "trier: counts")
	}
	defer func() { _ = res.Body.Close() }()
	var cnt runCounts
	if err := json.NewDecoder(res.Body).Decode(&cnt); err != nil {
		return nil, errors.Annotate(err, "trier: counts")
	}
	return cnt.Runs, nil
}
