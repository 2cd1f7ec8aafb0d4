// Package admitter implements admission control for the units whose home is
// this entry.
//
// A unit is a replica group or the VM of a plain service. The home of a unit
// is the only entry that admits requests to it. An entry that holds a caller's
// request asks the home for a ticket, connects to the backend server while the
// ticket is valid, and releases the ticket with the outcome. Every request
// gets exactly one answer: a ticket or a refusal.
package admitter
