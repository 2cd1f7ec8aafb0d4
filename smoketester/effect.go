package smoketester

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const maxReplySize = 1 << 20

// reply is the service's response to one send of a call; replayed means that it repeats an earlier response.
type reply struct {
	body     string
	replayed bool
}

// runCounts is how often the service stand-in ran each idempotency key.
type runCounts struct {
	Runs map[string]int `json:"runs"`
}

// callOnce sends a non-idempotent call twice with the same key and returns the key; it fails with ErrNotRunOnce unless the second response replays the first.
func (tri *Trial) callOnce(ctx context.Context, workspace string) (string, error) {
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
		return key, errors.Annotatef(ErrNotRunOnce, "first response %+v, second response %+v", first, again)
	}
	tri.printf("%s: %s ran key %s, the second send was answered from the first", workspace, tri.workload.service, key)
	return key, nil
}

func (tri *Trial) issueKey(ctx context.Context, workspace string) (string, error) {
	loc, err := tri.requester.Locate(ctx, workspace, "")
	if err != nil {
		return "", err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", errors.Annotate(err, "smoketester: generate key")
	}
	return loc.KeyPrefix + "/" + id.String(), nil
}

func (tri *Trial) callService(ctx context.Context, workspace, key string) (reply, error) {
	var rep reply
	err := tri.call(ctx, request{
		method:    http.MethodPost,
		path:      "/v1/services/" + tri.workload.service + fmt.Sprintf(tri.workload.servicePath, workspace),
		workspace: workspace,
		key:       key,
		body:      fmt.Appendf(nil, tri.workload.serviceBody, workspace),
		read: func(res *http.Response) error {
			data, err := io.ReadAll(io.LimitReader(res.Body, maxReplySize))
			rep = reply{body: string(data), replayed: res.Header.Get("X-Replayed") == "true"}
			return errors.Annotate(err, "smoketester: read response")
		},
	})
	return rep, err
}

// fetchRunCounts asks the service stand-in how often it ran each key.
func (tri *Trial) fetchRunCounts(ctx context.Context) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tri.ServiceControl+"/v1/counts", http.NoBody)
	if err != nil {
		return nil, errors.Annotate(err, "smoketester: fetch run counts")
	}
	res, err := tri.client.Do(req)
	if err != nil {
		return nil, errors.Annotate(err, "smoketester: fetch run counts")
	}
	defer func() { _ = res.Body.Close() }()
	var cnt runCounts
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplySize)).Decode(&cnt); err != nil {
		return nil, errors.Annotate(err, "smoketester: fetch run counts")
	}
	return cnt.Runs, nil
}
