// Package quarantiner finds the requests that crash the backend servers that run them.
//
// Every request that ran on a unit when it crashed is a suspect. One that was
// running at two distinct crashes is condemned, so a suspect has to run on a
// unit with no other suspect: then a request that only stood beside the cause
// of the first crash isn't there at the second.
package quarantiner
