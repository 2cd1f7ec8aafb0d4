// Package ratelimiter keeps the requests to backend servers that name a limit within it, over all entries.
//
// For each such server one entry is the owner. An entry that has requests for
// the server tells the owner how many, and the owner issues permits at the rate
// of the limit, to the entry first that got none for the longest time. A request
// to the server takes one permit. A permit that is not used expires, so that an
// entry cannot save them up.
//
// Owners that do not know of each other, because entries are partitioned, issue
// permits in proportion to the entries that they hear.
package ratelimiter
