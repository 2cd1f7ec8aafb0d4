// Package detector asks backend servers that look silent whether they still answer.
package detector
