// Package locator tells callers which entry to use.
//
// Callers connect by themselves, so this answer is the load balancing: it
// names the home of the group that the workspace is served by, and a second
// entry in case the first is gone.
package locator
