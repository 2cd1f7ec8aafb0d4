// Package gateserver runs an entry on a platform that provides the list of backend servers and the record store: it creates the components and connects them.
package gateserver
