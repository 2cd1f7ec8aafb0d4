// Package lister reads the platform's lagging list of VMs.
package lister
