package refuser

import "time"

const (
	// longestWait is the part of their remaining time for which callers wait at most before they come back.
	longestWait = 1.0 / 3
	// waitSpread is the part of it over which the returns of callers are spread, so that they do not come all at once.
	waitSpread = 1.0 / 6
)

// OutageRetryAfter returns the retry delay of a request with a timeout that no entry can serve while the store does not answer; random is in [0, 1). Most callers come back only once and outages last for seconds, so it is close to the longest delay that they accept. It is DefaultRetryAfter if the timeout is zero, that is unknown.
func OutageRetryAfter(timeout time.Duration, random float64) time.Duration {
	if timeout <= 0 {
		return DefaultRetryAfter
	}
	return time.Duration((longestWait - waitSpread*random) * float64(timeout))
}
