// Package sender sends HTTP/1.1 requests, each on one connection and without retries.
//
// It distinguishes a request that was certainly not sent from one that may have
// run, and reuses a connection only if the last response on it was complete and
// no further bytes have arrived.
package sender
