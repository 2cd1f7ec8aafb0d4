// Package heartbeater sends periodic UDP heartbeats to the other entries. They carry
// the number of requests that this entry runs on each unit and the backend
// servers that do not answer it.
//
// Each heartbeat carries the state at its sending, so the next one makes up for a lost
// one; an entry from which none arrive counts as gone.
package heartbeater
