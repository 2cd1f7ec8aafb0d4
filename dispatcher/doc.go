// Package dispatcher selects the backend server for each request, and queues or
// refuses requests while no server has a free slot.
//
// It handles two overload cases. When requests exceed the slots, it serves
// first the requests that can still meet their objective and refuses at once
// those that cannot start in time. When units fail, it spreads the load over
// the remaining ones. Entries know each other's requests only by heartbeats, so
// each spreads its requests as if the others sent theirs at the same time. The
// package does no I/O.
package dispatcher
