// Package completer runs a chat completion until its answer is complete.
//
// It picks a replica group, acquires a ticket from the group's home and streams
// the answer. When a stream breaks, it resumes at another group after the tokens
// that were already delivered.
package completer
