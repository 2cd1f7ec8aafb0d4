// Package hoster runs an HTTP server at a fixed address that can be stopped and restarted.
package hoster
