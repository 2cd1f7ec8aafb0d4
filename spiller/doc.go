// Package spiller decides what share of a pool's requests leaves the availability
// zone of the entry.
//
// Each entry applies the same share to its own requests, so that the sum over all
// entries of a zone doesn't depend on their number. The share is controlled by how
// much later first events would be at home, at a pace that follows the age of the
// loads: what has left shows only after that. The package does no I/O.
package spiller
