// Package limiter decides how many requests a unit may run at once.
//
// A unit is a replica group or a plain service's VM. A cold unit never gets
// more than its cold limit, with the load of others counted. A warm unit's
// limit grows with completions and shrinks when latency or the backend
// server's queue grows. A Limiter is not safe for concurrent use.
package limiter
