package jsoncoder

import (
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
