// Package cataloger defines and validates the catalog that operators publish: the inventory and the rules.
package cataloger
