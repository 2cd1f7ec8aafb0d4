package refuser

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Type says what a refusal means for the request.
type Type string

// The types of refusals.
const (
	TypeNotRun         Type = "not_run"
	TypeOutcomeUnknown Type = "outcome_unknown"
	TypeInvalid        Type = "invalid"
	TypeTooLarge       Type = "too_large"
	TypeExpired        Type = "expired"
	TypeCondemned      Type = "condemned"
	TypeConflict       Type = "conflict"
)

// DefaultRetryAfter is the advice where nothing better is known.
const DefaultRetryAfter = time.Second

// Refusal is a final answer that is not the answer to the request; it is an error and can be sent with gob.
type Refusal struct {
	Type       Type
	Message    string
	RequestID  string
	RetryAfter time.Duration
	Status     int
}

// Error returns the type and the message.
func (ref Refusal) Error() string {
	return string(ref.Type) + ": " + ref.Message
}

// WithRequestID returns the refusal with the ID of the request that it answers.
func (ref Refusal) WithRequestID(id string) Refusal {
	ref.RequestID = id
	return ref
}

// NotRun says that nothing was and nothing will be handed to a backend server.
func NotRun(message string, retryAfter time.Duration) Refusal {
	return Refusal{Type: TypeNotRun, Message: message, RetryAfter: retryAfter, Status: http.StatusServiceUnavailable}
}

// OverShare says that the request was not run because the workspace's own share is used up.
func OverShare(message string, retryAfter time.Duration) Refusal {
	return Refusal{Type: TypeNotRun, Message: message, RetryAfter: retryAfter, Status: http.StatusTooManyRequests}
}

// TooSlow says that the request was not run because it did not arrive in time.
func TooSlow(message string) Refusal {
	return Refusal{Type: TypeNotRun, Message: message, Status: http.StatusRequestTimeout}
}

// OutcomeUnknown says that the request may have run and is not run again.
func OutcomeUnknown(message string) Refusal {
	return Refusal{Type: TypeOutcomeUnknown, Message: message, Status: http.StatusBadGateway}
}

// Invalid says that the request itself is wrong.
func Invalid(message string) Refusal {
	return Refusal{Type: TypeInvalid, Message: message, Status: http.StatusBadRequest}
}

// Unknown says that the request names a model, service or workspace that does not exist.
func Unknown(message string) Refusal {
	return Refusal{Type: TypeInvalid, Message: message, Status: http.StatusNotFound}
}

// TooLarge says that the body of the request is over a limit.
func TooLarge(message string) Refusal {
	return Refusal{Type: TypeTooLarge, Message: message, Status: http.StatusRequestEntityTooLarge}
}

// HeadersTooLarge says that the headers of the request are over a limit.
func HeadersTooLarge(message string) Refusal {
	return Refusal{Type: TypeTooLarge, Message: message, Status: http.StatusRequestHeaderFieldsTooLarge}
}

// Expired says that the idempotency key is too old to be run.
func Expired(message string) Refusal {
	return Refusal{Type: TypeExpired, Message: message, Status: http.StatusGone}
}

// Condemned says that the request crashed the backend servers that ran it.
func Condemned(message string) Refusal {
	return Refusal{Type: TypeCondemned, Message: message, Status: http.StatusUnprocessableEntity}
}

// Conflict says that a publication was made from an old revision, or that a key was used for another request.
func Conflict(message string) Refusal {
	return Refusal{Type: TypeConflict, Message: message, Status: http.StatusConflict}
}

// From returns the refusal within an error; any other error is of unknown outcome, because nothing proves that the request did not run.
func From(err error) Refusal {
	var ref Refusal
	if errors.As(err, &ref) {
		return ref
	}
	var ptr *Refusal
	if errors.As(err, &ptr) && ptr != nil {
		return *ptr
	}
	if err == nil {
		return OutcomeUnknown("no answer")
	}
	return OutcomeUnknown(err.Error())
}

// Unauthorized says that the caller's key is not known.
func Unauthorized(message string) Refusal {
	return Refusal{Type: TypeInvalid, Message: message, Status: http.StatusUnauthorized}
}

// TooLate says that the request may have run and its answer did not come in time.
func TooLate(message string) Refusal {
	return Refusal{Type: TypeOutcomeUnknown, Message: message, Status: http.StatusGatewayTimeout}
}
