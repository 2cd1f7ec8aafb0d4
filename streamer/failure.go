package streamer

import "strconv"

// Reason says why a stream did not start or broke.
type Reason string

// The reasons of NotStartedError and BrokenError.
const (
	ReasonDial       Reason = "dial"
	ReasonFence      Reason = "fence"
	ReasonCold       Reason = "cold"
	ReasonNotReady   Reason = "not_ready"
	ReasonOverloaded Reason = "overloaded"
	ReasonStatus     Reason = "status"
	ReasonConnection Reason = "connection"
	ReasonCancelled  Reason = "cancelled"
	ReasonLineSize   Reason = "line_size"
	ReasonMalformed  Reason = "malformed"
	ReasonCrossed    Reason = "crossed"
	ReasonRepeated   Reason = "repeated"
	ReasonGap        Reason = "gap"
	ReasonNoEnd      Reason = "no_end"
	ReasonUsage      Reason = "usage"
	ReasonSink       Reason = "sink"
)

// NotStartedError says that the engine ran nothing of the request.
type NotStartedError struct {
	Reason Reason
	Cause  error
}

// Error gives the reason and the cause.
func (nse *NotStartedError) Error() string {
	return "streamer: not started: " + string(nse.Reason) + because(nse.Cause)
}

// Unwrap returns the cause, if there is one.
func (nse *NotStartedError) Unwrap() error { return nse.Cause }

// RejectedError says that the engine found the request itself wrong; Status is an HTTP status of 4xx.
type RejectedError struct {
	Status int
	Body   []byte
}

// Error gives the status.
func (rej *RejectedError) Error() string {
	return "streamer: rejected with status " + strconv.Itoa(rej.Status)
}

// BrokenError says that the stream broke after Tokens tokens of the whole answer, those resumed from included.
type BrokenError struct {
	Tokens int
	Reason Reason
	Cause  error
}

// Error gives the number of tokens, the reason and the cause.
func (bro *BrokenError) Error() string {
	return "streamer: broken after " + strconv.Itoa(bro.Tokens) + " tokens: " + string(bro.Reason) + because(bro.Cause)
}

// Unwrap returns the cause, if there is one.
func (bro *BrokenError) Unwrap() error { return bro.Cause }

func because(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}
