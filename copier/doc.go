// Package copier passes requests on without any decision; it is the baseline for the cost of an entry.
package copier
