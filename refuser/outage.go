package refuser

import "time"

// callerPatience is the part of their remaining time for which callers wait at most before they come back.
const callerPatience = 3

// OutageRetryAfter returns the retry delay of a request with a timeout that no entry can serve while the store does not answer. Most callers come back only once and outages last for seconds, so it is the longest delay that they accept. It is DefaultRetryAfter if the timeout is zero, that is unknown.
func OutageRetryAfter(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return DefaultRetryAfter
	}
	return timeout / callerPatience
}
