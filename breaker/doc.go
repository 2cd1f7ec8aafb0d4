// Package breaker implements a circuit breaker for each backend server.
package breaker
