package requester

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"
)

// The failures of a request to the entries.
const (
	ErrNoAnswer   = errors.ConstError("no entry answered")
	ErrMalformed  = errors.ConstError("answer could not be read")
	ErrNoEntry    = errors.ConstError("no entry is given")
	ErrLostAnswer = errors.ConstError("the answer was lost")
)

// RefusedNotRun is the type of a refusal after which nothing was and nothing will be handed to a backend server.
const RefusedNotRun = "not_run"

// Refusal is an answer of an entry that is no success.
type Refusal struct {
	Status       int    `json:"-"`
	Body         string `json:"-"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Error tells the type, the status and the message, or all problems of a publication.
func (ref *Refusal) Error() string {
	if ref.Type == "" {
		return fmt.Sprintf("refused with status %d: %s", ref.Status, ref.Body)
	}
	if ref.Status == http.StatusUnprocessableEntity {
		return fmt.Sprintf("%s (status %d): %s", ref.Type, ref.Status, ref.Body)
	}
	return fmt.Sprintf("%s (status %d): %s", ref.Type, ref.Status, ref.Message)
}

// Invalid reports whether the publication itself was refused.
func (ref *Refusal) Invalid() bool {
	return ref.Status == http.StatusUnprocessableEntity || ref.Status == http.StatusBadRequest
}

// Conflict reports whether the publication was made from an old revision.
func (ref *Refusal) Conflict() bool {
	return ref.Status == http.StatusConflict
}

// Unknown reports whether the request may have run.
func (ref *Refusal) Unknown() bool {
	return ref.Status >= http.StatusInternalServerError && ref.Type != RefusedNotRun
}

// Final reports whether the same request would be refused again, by any entry.
func (ref *Refusal) Final() bool {
	return ref.Status < http.StatusInternalServerError && ref.Status != http.StatusTooManyRequests
}
