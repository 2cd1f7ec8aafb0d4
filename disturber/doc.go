// Package disturber injects configurable faults into the requests of an HTTP handler.
package disturber
