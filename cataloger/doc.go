// Package cataloger describes what operators publish: the inventory and the rules.
package cataloger
