// Command longread freezes an entry while the operator writes large configurations, the last of which takes a key away.
//
// It exits with 1 if a request with that key runs later than the entry is
// bound by that configuration, 0 if none does, and 2 if the case could not run.
package main
