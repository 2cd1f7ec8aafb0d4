// Package logcaller calls the platform's append-only log service.
package logcaller
