package refuser

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Type classifies a refusal by what it means for the request.
type Type string

// Types of refusals.
const (
	TypeNotRun         Type = "not_run"
	TypeOutcomeUnknown Type = "outcome_unknown"
	TypeInvalid        Type = "invalid"
	TypeTooLarge       Type = "too_large"
	TypeExpired        Type = "expired"
	TypeCondemned      Type = "condemned"
	TypeConflict       Type = "conflict"
)

// DefaultRetryAfter is the retry delay sent to callers when no better estimate is known.
const DefaultRetryAfter = time.Second

// Refusal is the error answer to a request; it implements error and can be encoded with gob, and Status is the HTTP status.
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

// WithRequestID returns a copy of the refusal with the ID of the request that it answers.
func (ref Refusal) WithRequestID(id string) Refusal {
	ref.RequestID = id
	return ref
}

// NotRun returns the refusal of a request that was not and will not be sent to a backend server.
func NotRun(message string, retryAfter time.Duration) Refusal {
	return Refusal{Type: TypeNotRun, Message: message, RetryAfter: retryAfter, Status: http.StatusServiceUnavailable}
}

// ShareExceeded returns the refusal of a request that was not run because the workspace has used up its share.
func ShareExceeded(message string, retryAfter time.Duration) Refusal {
	return Refusal{Type: TypeNotRun, Message: message, RetryAfter: retryAfter, Status: http.StatusTooManyRequests}
}

// RequestTimeout returns the refusal of a request that was not run because it was not fully received in time.
func RequestTimeout(message string) Refusal {
	return Refusal{Type: TypeNotRun, Message: message, Status: http.StatusRequestTimeout}
}

// OutcomeUnknown returns the refusal of a request that may have run and will not be retried.
func OutcomeUnknown(message string) Refusal {
	return Refusal{Type: TypeOutcomeUnknown, Message: message, Status: http.StatusBadGateway}
}

// Invalid returns the refusal of an invalid request.
func Invalid(message string) Refusal {
	return Refusal{Type: TypeInvalid, Message: message, Status: http.StatusBadRequest}
}

// NotFound returns the refusal of a request for a model, service, workspace or route that does not exist or is not open to the workspace.
func NotFound(message string) Refusal {
	return Refusal{Type: TypeInvalid, Message: message, Status: http.StatusNotFound}
}

// TooLarge returns the refusal of a request whose body exceeds a limit.
func TooLarge(message string) Refusal {
	return Refusal{Type: TypeTooLarge, Message: message, Status: http.StatusRequestEntityTooLarge}
}

// HeadersTooLarge returns the refusal of a request whose headers exceed a limit.
func HeadersTooLarge(message string) Refusal {
	return Refusal{Type: TypeTooLarge, Message: message, Status: http.StatusRequestHeaderFieldsTooLarge}
}

// Expired returns the refusal of a request whose idempotency key is too old.
func Expired(message string) Refusal {
	return Refusal{Type: TypeExpired, Message: message, Status: http.StatusGone}
}

// Condemned returns the refusal of a request that crashed the backend servers that ran it.
func Condemned(message string) Refusal {
	return Refusal{Type: TypeCondemned, Message: message, Status: http.StatusUnprocessableEntity}
}

// Conflict returns the refusal of a publication based on an old revision, or of a request whose idempotency key was used for another request.
func Conflict(message string) Refusal {
	return Refusal{Type: TypeConflict, Message: message, Status: http.StatusConflict}
}

// FromError returns the refusal that an error wraps; any other error, and nil, becomes OutcomeUnknown, because nothing proves that the request did not run.
func FromError(err error) Refusal {
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

// Unauthorized returns the refusal of a caller whose API key is not known.
func Unauthorized(message string) Refusal {
	return Refusal{Type: TypeInvalid, Message: message, Status: http.StatusUnauthorized}
}

// AnswerTimeout returns the refusal of a request that may have run but was not answered before its deadline.
func AnswerTimeout(message string) Refusal {
	return Refusal{Type: TypeOutcomeUnknown, Message: message, Status: http.StatusGatewayTimeout}
}
