// Package logkeeper simulates the platform's append-only log service over HTTP.
package logkeeper
