// Package admitter is the home of units: it alone admits requests to them.
//
// A unit is a replica group or a plain service's VM. Whoever holds a caller's
// request asks the home of a unit for a ticket, connects to the backend server
// within the time that the ticket is valid for, and releases the ticket with
// the outcome. Every request gets exactly one answer: a ticket or a refusal.
package admitter
