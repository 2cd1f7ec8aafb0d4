// Package locator tells callers which entry to use.
//
// Callers connect to entries directly, so this answer does the load balancing:
// it names the home of a group that serves the workspace, and a second entry
// for the case that the first is unavailable.
package locator
