// Package placer chooses the VMs of a new replica group.
package placer
