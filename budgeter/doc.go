// Package budgeter implements a retry budget in a sliding window, shared by all
// entries.
package budgeter
