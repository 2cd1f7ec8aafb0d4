// Package logkeeper stands in for the platform's log service.
package logkeeper
