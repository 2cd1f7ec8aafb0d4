// Package trier acts as a caller of a deployment and checks what it is answered.
package trier
