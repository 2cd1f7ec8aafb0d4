// Package measurecommander is the command line of the measurements.
package measurecommander
