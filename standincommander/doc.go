// Package standincommander implements the command line that runs the stand-ins for the platform services and backend servers.
package standincommander
