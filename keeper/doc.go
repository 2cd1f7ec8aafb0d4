// Package keeper manages the units whose home is this entry.
//
// It takes units over from their former homes, admits requests only while the
// unit serves and the state of this entry is fresh, and publishes the status
// of the units to the other entries.
package keeper
