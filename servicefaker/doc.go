// Package servicefaker simulates the VMs of one plain service over HTTP.
package servicefaker
