// Package disturber makes an HTTP handler fail as its faults say.
package disturber
