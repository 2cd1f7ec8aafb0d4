// Package measurecommander implements the command line of the measurer.
package measurecommander
