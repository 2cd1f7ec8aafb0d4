// Package vmrunner serves the simulated VMs of one process and the control API that injects faults into them.
package vmrunner
