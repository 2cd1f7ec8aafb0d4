// Package placer selects the VMs of a new replica group.
package placer
