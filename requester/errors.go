package requester

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

// Errors of a request to the entries.
const (
	ErrNoAnswer   = errors.ConstError("no entry answered")
	ErrMalformed  = errors.ConstError("answer could not be decoded")
	ErrNoEntry    = errors.ConstError("no entry is given")
	ErrLostAnswer = errors.ConstError("the answer was lost")
)

// RefusedNotRun is the type of a refusal that guarantees that the request was not and will not be passed to a backend server.
const RefusedNotRun = "not_run"

// Refusal is an error response of an entry; Body is the whole response body.
type Refusal struct {
	Status       int    `json:"-"`
	Body         string `json:"-"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Error formats the type, the status and the message; for an invalid publication it includes the whole body, which lists all problems.
func (ref *Refusal) Error() string {
	if ref.Type == "" {
		return fmt.Sprintf("refused with status %d: %s", ref.Status, ref.Body)
	}
	if ref.Status == http.StatusUnprocessableEntity {
		return fmt.Sprintf("%s (status %d): %s", ref.Type, ref.Status, ref.Body)
	}
	return fmt.Sprintf("%s (status %d): %s", ref.Type, ref.Status, ref.Message)
}

// Invalid reports whether the publication was refused because of its content.
func (ref *Refusal) Invalid() bool {
	return ref.Status == http.StatusUnprocessableEntity || ref.Status == http.StatusBadRequest
}

// Conflict reports whether the publication was made from a revision that is no longer current.
func (ref *Refusal) Conflict() bool {
	return ref.Status == http.StatusConflict
}

// OutcomeUnknown reports whether the outcome is unknown because the request may have run.
func (ref *Refusal) OutcomeUnknown() bool {
	return ref.Status >= http.StatusInternalServerError && ref.Type != RefusedNotRun
}

// Permanent reports whether the refusal is permanent: every entry would refuse the same request again.
func (ref *Refusal) Permanent() bool {
	return ref.Status < http.StatusInternalServerError && ref.Status != http.StatusTooManyRequests
}
