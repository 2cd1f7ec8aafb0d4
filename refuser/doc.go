// Package refuser defines the typed refusals that are returned to callers.
package refuser
