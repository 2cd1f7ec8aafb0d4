// Package retrier decides whether and when a request is tried again.
//
// The budget is a token bucket that successes fill, so that retries stay a
// fixed part of the load when everything fails. The delay is an exponential
// backoff with full jitter.
package retrier
