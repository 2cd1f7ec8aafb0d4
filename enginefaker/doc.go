// Package enginefaker stands in for the model engines of one fabric domain.
package enginefaker
