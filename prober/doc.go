// Package prober polls backend servers for their status.
package prober
