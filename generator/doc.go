// Package generator writes the inventory, the rules and the settings of a deployment of any size on loopback addresses.
package generator
