// Package vmrunner runs the VMs of one process with their faults and its control address.
package vmrunner
