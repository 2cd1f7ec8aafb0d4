// Package retrier decides whether and when a request is retried.
//
// The retry budget is a token bucket filled by successes, so that retries stay
// a bounded share of the load when all requests fail. The delay is exponential
// backoff with full jitter.
package retrier
