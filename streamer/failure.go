package streamer

import "strconv"

// Reason is the cause of a stream that did not start or that broke.
type Reason string

// Reasons of NotStartedError and BrokenError.
const (
	ReasonDial         Reason = "dial"
	ReasonFence        Reason = "fence"
	ReasonCold         Reason = "cold"
	ReasonNotReady     Reason = "not_ready"
	ReasonOverloaded   Reason = "overloaded"
	ReasonStatus       Reason = "status"
	ReasonConnection   Reason = "connection"
	ReasonCancelled    Reason = "cancelled"
	ReasonLineSize     Reason = "line_size"
	ReasonMalformed    Reason = "malformed"
	ReasonOtherRequest Reason = "crossed"
	ReasonRepeated     Reason = "repeated"
	ReasonGap          Reason = "gap"
	ReasonNoEnd        Reason = "no_end"
	ReasonUsage        Reason = "usage"
	ReasonSink         Reason = "sink"
)

// NotStartedError reports that the engine did not run any part of the request.
type NotStartedError struct {
	Reason Reason
	Cause  error
}

// Error returns the reason and the cause.
func (nse *NotStartedError) Error() string {
	return "streamer: not started: " + string(nse.Reason) + causeSuffix(nse.Cause)
}

// Unwrap returns the cause, or nil.
func (nse *NotStartedError) Unwrap() error { return nse.Cause }

// RejectedError reports that the engine found the request invalid; Status is the HTTP status (4xx), and Body holds at most MaxErrorBody bytes of the response body.
type RejectedError struct {
	Status int
	Body   []byte
}

// Error returns a message with the status.
func (rej *RejectedError) Error() string {
	return "streamer: rejected with status " + strconv.Itoa(rej.Status)
}

// BrokenError reports that the stream broke; Tokens counts the tokens of the answer so far, including those before ResumeFrom.
type BrokenError struct {
	Tokens int
	Reason Reason
	Cause  error
}

// Error returns the number of tokens, the reason and the cause.
func (bro *BrokenError) Error() string {
	return "streamer: broken after " + strconv.Itoa(bro.Tokens) + " tokens: " + string(bro.Reason) + causeSuffix(bro.Cause)
}

// Unwrap returns the cause, or nil.
func (bro *BrokenError) Unwrap() error { return bro.Cause }

func causeSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}
