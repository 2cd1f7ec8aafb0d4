// Package servicefaker stands in for the VMs of one plain service.
package servicefaker
