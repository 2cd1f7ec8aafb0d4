// Package gateway carries the requests of callers to backend servers and their answers back.
//
// A request is read whole, sent to one unit after the other as far as its route,
// its deadline and the shared budget allow, and answered once: with the answer
// of one backend server, or with a refusal that says whether it may have run.
package gateway
