// Package prover starts deployments as real processes, breaks them at random and checks what must always hold.
package prover
