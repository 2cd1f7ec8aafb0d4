// Package weightkeeper stands in for the platform's rate-limited weight store.
package weightkeeper
