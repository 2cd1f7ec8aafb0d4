// Package drainer tells when the HTTP servers of a process have written the responses to all requests that they have accepted.
package drainer
