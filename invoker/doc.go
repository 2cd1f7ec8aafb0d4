// Package invoker calls plain services, and sends a call that may not be repeated at most once.
package invoker
