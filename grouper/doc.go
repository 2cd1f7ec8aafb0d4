// Package grouper decides which replica groups there should be, of which
// backend servers, and what idle servers hold ready.
//
// It answers the loss of servers while requests go on: survivors that hold the
// weights and idle servers that have them staged come before any load from the
// weight store, since those are few a second. It does no input or output.
package grouper
