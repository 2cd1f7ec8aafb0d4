// Package vmlister stands in for the platform's lagging list of VMs.
package vmlister
