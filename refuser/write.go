package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Type         Type   `json:"type"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Write answers with the refusal as JSON, and with Retry-After in whole seconds, rounded up, where a later try can help.
func (ref Refusal) Write(wri http.ResponseWriter) error {
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/json")
	if ref.RequestID != "" {
		hdr.Set("X-Request-Id", ref.RequestID)
	}
	if ref.RetryAfter > 0 {
		hdr.Set("Retry-After", strconv.FormatInt(ceil(ref.RetryAfter, time.Second), 10))
	}
	wri.WriteHeader(ref.Status)
	bod := body{Error: detail{ref.Type, ref.Message, ref.RequestID, ceil(ref.RetryAfter, time.Millisecond)}}
	return errors.Annotate(json.NewEncoder(wri).Encode(bod), "refuser: write refusal")
}

func ceil(dur, unit time.Duration) int64 {
	return int64((dur + unit - 1) / unit)
}
