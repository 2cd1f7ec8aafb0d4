// Package requester is an HTTP client of the entries of a deployment; it sends a read to one entry after another until one answers.
package requester
