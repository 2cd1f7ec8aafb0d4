// Package sender sends one HTTP/1.1 request over one connection and never sends it again by itself.
//
// It tells apart a request that was certainly not sent from one that may have
// run, and hands a kept connection to another request only when the answer on
// it was complete and nothing else has arrived.
package sender
