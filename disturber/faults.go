package disturber

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

// Faults are the faults that every stand-in supports: refuse all requests, delay each by SlowMS milliseconds, refuse those from the source IPs in CutSources, or pause.
type Faults struct {
	Down       bool     `json:"down,omitempty"`
	SlowMS     int64    `json:"slow_ms,omitempty"`
	CutSources []string `json:"cut_sources,omitempty"`
	Pause      bool     `json:"pause,omitempty"`
}

// FaultsHandler returns the handler of POST /v1/faults, which merges the fields of the body into the current faults; an empty object clears all faults.
func FaultsHandler[T any](current func() T, set func(T) error) http.HandlerFunc {
	var mut sync.Mutex
	return func(wtr http.ResponseWriter, req *http.Request) {
		mut.Lock()
		defer mut.Unlock()
		flt, err := mergeFaults(req.Body, current())
		if err != nil {
			jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
			return
		}
		if err := set(flt); err != nil {
			jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
			return
		}
		jsoncoder.Write(wtr, http.StatusOK, current())
	}
}

func mergeFaults[T any](body io.Reader, flt T) (T, error) {
	var fields map[string]json.RawMessage
	data, err := io.ReadAll(io.LimitReader(body, jsoncoder.MaxBodyBytes))
	if err != nil {
		return flt, errors.NewNotValid(err, "disturber: read faults")
	}
	if err := json.Unmarshal(data, &fields); err != nil {
		return flt, errors.NewNotValid(err, "disturber: decode faults")
	}
	if len(fields) == 0 {
		var none T
		return none, nil
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&flt); err != nil {
		return flt, errors.NewNotValid(err, "disturber: decode faults")
	}
	return flt, nil
}
