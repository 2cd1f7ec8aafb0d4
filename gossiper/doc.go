// Package gossiper replicates facts, log records and freshness between entries.
//
// Small clusters use a full mesh: each entry long-polls every other one, and a
// peer holds the request until it has something new. In larger clusters each
// entry polls the peers at distances of powers of two on a ring in rotation.
// A fact is a versioned value that one entry publishes about a subject; it is
// removed when its origin is no longer a member.
package gossiper
