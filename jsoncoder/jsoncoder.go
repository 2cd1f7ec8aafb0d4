package jsoncoder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// MaxBody is the largest body in bytes that Read takes.
const MaxBody = 4 << 20

// Write answers with the status and the value as JSON.
func Write[T any](wtr http.ResponseWriter, status int, val T) {
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(status)
	_ = json.NewEncoder(wtr).Encode(val)
}

// Read decodes the body of a request as a T; it fails with errors.NotValid.
func Read[T any](req *http.Request) (T, error) {
	var val T
	data, err := io.ReadAll(io.LimitReader(req.Body, MaxBody))
	if err != nil {
		return val, errors.NewNotValid(err, "jsoncoder: read body")
	}
	if err := json.Unmarshal(data, &val); err != nil {
		return val, errors.NewNotValid(err, "jsoncoder: decode body")
	}
	return val, nil
}

// Failure is the body of an answer that reports an error.
type Failure struct {
	Error string `json:"error"`
}

// Fail answers with the status and the text of the error.
func Fail(wtr http.ResponseWriter, status int, err error) {
	Write(wtr, status, Failure{Error: err.Error()})
}

// Call sends a value as JSON and decodes the answer as an A; it fails with errors.NotYetAvailable on a status other than 200.
func Call[V, A any](ctx context.Context, cli *http.Client, method, url string, val V) (A, error) {
	var ans A
	body, err := json.Marshal(val)
	if err != nil {
		return ans, errors.Annotate(err, "jsoncoder: encode body")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return ans, errors.Annotate(err, "jsoncoder: call")
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return ans, errors.Annotate(err, "jsoncoder: call")
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return ans, errors.NotYetAvailablef("jsoncoder: %s with status %d", url, rsp.StatusCode)
	}
	return ans, errors.Annotate(json.NewDecoder(rsp.Body).Decode(&ans), "jsoncoder: decode answer")
}
