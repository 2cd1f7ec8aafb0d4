// Package completer runs one chat completion to its whole answer.
//
// It picks a replica group, gets a ticket from the group's home and streams.
// A broken stream goes on at another group from the tokens already passed on.
package completer
