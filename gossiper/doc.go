// Package gossiper passes facts, records and freshness on between entries.
//
// Each entry pulls from peers at distances of powers of two on a ring, and an
// answer waits until there is something new. A fact is what one entry says of
// a subject; it is dropped when its origin is no longer a member.
package gossiper
