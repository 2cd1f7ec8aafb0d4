// Package standcommander is the command line of the stand-ins.
package standcommander
