// Package quarantiner detects requests that crash the backend servers that run them.
//
// Every request that was running on a unit when the unit crashed is a suspect.
// A request that was running at two distinct crashes is condemned: it is
// refused permanently. A suspect must therefore run on a unit with no other
// suspect, so that a request that merely shared the unit with the cause of the
// first crash is not running beside that cause at the second.
package quarantiner
