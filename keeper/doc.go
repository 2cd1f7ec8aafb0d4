// Package keeper keeps the units that have their home at this entry.
//
// It takes a home over from its former holders, lets requests in only while
// the unit serves and this entry is fresh, and tells the other entries how
// the unit stands.
package keeper
