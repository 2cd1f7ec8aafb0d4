// Package sampler reads what the processes of a deployment have used.
package sampler
