// Package quarantiner detects what crashes backend servers: single requests, and parts of prompts that many requests share.
//
// The subjects of a request are its fingerprint and the parts of its prompt
// except the last. Each request that was running on a unit when the unit
// crashed, and had not yet proved sound there, makes its subjects suspects. A
// part is quarantined when it explains several crashes that no other subject
// explains better; whoever has seen a request with the part run since a crash
// clears the part of that crash. Requests that were at the same crashes take
// turns, so that the next run of one of them tells which it is.
//
// A request that was running at CrashesToCondemn distinct crashes is condemned.
// On the path of entry a suspect must run on a unit with no other suspect, so
// that a request that merely shared the unit with the cause of the first crash
// is not running beside that cause at the second.
package quarantiner
