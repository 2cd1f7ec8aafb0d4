// Package prober asks backend servers for their status.
package prober
