// Package invoker sends calls to plain HTTP services, and sends a call that must not be repeated at most once.
package invoker
