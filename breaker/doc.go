// Package breaker stops requests to backend servers that fail again and again.
package breaker
