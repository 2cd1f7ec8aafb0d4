package refuser

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type         Type   `json:"type"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// Write writes the refusal as an HTTP response with a JSON body; if RetryAfter is set, the Retry-After header gives it in whole seconds, rounded up.
func (ref Refusal) Write(wri http.ResponseWriter) error {
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/json")
	if ref.RequestID != "" {
		hdr.Set("X-Request-Id", ref.RequestID)
	}
	if ref.RetryAfter > 0 {
		hdr.Set("Retry-After", strconv.FormatInt(divideRoundingUp(ref.RetryAfter, time.Second), 10))
	}
	wri.WriteHeader(ref.Status)
	bod := errorBody{Error: errorDetail{ref.Type, ref.Message, ref.RequestID, divideRoundingUp(ref.RetryAfter, time.Millisecond)}}
	return errors.Annotate(json.NewEncoder(wri).Encode(bod), "refuser: write refusal")
}

func divideRoundingUp(dur, unit time.Duration) int64 {
	return int64((dur + unit - 1) / unit)
}
