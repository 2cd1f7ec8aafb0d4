// Package enginefaker simulates the model engines of one fabric domain over HTTP.
package enginefaker
