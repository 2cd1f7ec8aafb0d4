// Package loader sends a mix of requests at a rate independent of the answers (open loop) and records the outcome of each.
package loader
