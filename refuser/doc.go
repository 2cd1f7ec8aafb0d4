// Package refuser defines the typed refusals that callers get.
package refuser
