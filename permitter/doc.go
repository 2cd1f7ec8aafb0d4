// Package permitter exchanges the rate limits of backend servers, and permits for requests to them, with the other entries.
//
// The owner of a server issues the permits; it is chosen by rendezvous hashing
// among the entries that are heard. An entry that learns from a response that a
// limit has changed tells the owner, which announces it to all. A question for
// permits carries the limit, so that it reaches the owner even if an earlier
// message was lost.
package permitter
