// Package forecaster measures the work that callers ask for, by pool, and sums it up over all entries.
//
// Each entry sends its recent mean to the others in heartbeats. An entry that is
// not heard from for some time drops out of the sum.
package forecaster
