// Package observer measures the downtime of a deployment's replica groups after a fault.
package observer
