package jsoncoder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// MaxBodyBytes is the largest request body in bytes that Read accepts, and the largest response that Call accepts.
const MaxBodyBytes = 4 << 20

// Write sends a response with the status and the value as JSON.
func Write[T any](wtr http.ResponseWriter, status int, val T) {
	wtr.Header().Set("Content-Type", "application/json")
	wtr.WriteHeader(status)
	_ = json.NewEncoder(wtr).Encode(val)
}

// Read decodes the JSON body of a request as a T; it fails with errors.NotValid.
func Read[T any](req *http.Request) (T, error) {
	var val T
	data, err := io.ReadAll(io.LimitReader(req.Body, MaxBodyBytes))
	if err != nil {
		return val, errors.NewNotValid(err, "jsoncoder: read request body")
	}
	if err := json.Unmarshal(data, &val); err != nil {
		return val, errors.NewNotValid(err, "jsoncoder: decode request body")
	}
	return val, nil
}

// ErrorBody is the body of a response that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError sends a response with the status and the text of the error as JSON.
func WriteError(wtr http.ResponseWriter, status int, err error) {
	Write(wtr, status, ErrorBody{Error: err.Error()})
}

// Call sends a value as a JSON request and decodes the JSON response as an A; it fails with errors.NotYetAvailable on a status other than 200.
func Call[V, A any](ctx context.Context, cli *http.Client, method, url string, val V) (A, error) {
	var ans A
	body, err := json.Marshal(val)
	if err != nil {
		return ans, errors.Annotate(err, "jsoncoder: encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return ans, errors.Annotate(err, "jsoncoder: send request")
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return ans, errors.Annotate(err, "jsoncoder: send request")
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return ans, errors.NotYetAvailablef("jsoncoder: %s with status %d", url, rsp.StatusCode)
	}
	return ans, errors.Annotate(json.NewDecoder(io.LimitReader(rsp.Body, MaxBodyBytes)).Decode(&ans), "jsoncoder: decode response")
}
