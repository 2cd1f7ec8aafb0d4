// Package logcaller is a client of the platform's append-only log service.
package logcaller
