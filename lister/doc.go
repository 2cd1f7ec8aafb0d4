// Package lister reads the platform's lagging list of VMs.
//
// The list grows with the deployment, so the entries of a region take turns to
// read it and tell the others which VMs leave.
package lister
