// Package estimator predicts how a replica group of an engine serves requests
// from the work in tokens that it has.
//
// An engine works in passes. In each pass every request that writes gets some
// tokens, and a bounded number of prompt tokens is read. The time to the first
// event of a request therefore follows from the prompt tokens that wait to be
// read before it, and not from the free slots of the group. The package does no
// I/O.
package estimator
