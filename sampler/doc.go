// Package sampler reads the CPU time and memory of a deployment's processes and the metrics of its entries.
package sampler
