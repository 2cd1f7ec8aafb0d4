// Package limiter implements an adaptive concurrency limit for one unit.
//
// A unit is a replica group, or a VM of a plain service. Its home is the entry
// that admits requests to it. Foreign load means the requests that the unit runs
// without a permit of this limiter: those of another home, and those whose
// permit was lost.
//
// A cold unit never runs more than its cold limit, foreign load included. The
// limit of a warm unit grows with completions and shrinks when latency or the
// queue of the backend server grows. A Limiter is not safe for concurrent use.
package limiter
