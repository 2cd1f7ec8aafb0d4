// Package peerpicker selects the entry that a request is forwarded to when this one reaches no backend server.
//
// The choice is random, so that many entries with lost links distribute their
// requests evenly: loads of other entries are known too late to choose by them.
package peerpicker
