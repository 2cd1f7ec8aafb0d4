// Package logfaker simulates the platform's append-only log service over HTTP.
package logfaker
